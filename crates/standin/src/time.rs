//! The monotonic clock, which all processes of one machine share.

use std::time::Duration;

/// Milliseconds of `CLOCK_MONOTONIC`. All processes of one machine read the
/// same clock, so the times that they record can be compared.
///
/// # Panics
///
/// Panics if the clock cannot be read, which Linux never reports.
#[must_use]
pub fn monotonic_ms() -> u64 {
    monotonic_us() / 1_000
}

/// Microseconds of `CLOCK_MONOTONIC`; see [`monotonic_ms`].
///
/// # Panics
///
/// Panics if the clock cannot be read, which Linux never reports.
#[must_use]
pub fn monotonic_us() -> u64 {
    let mut now = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: `now` is valid for writes during the call.
    let code =
        unsafe { libc::clock_gettime(libc::CLOCK_MONOTONIC, &raw mut now) };
    assert_eq!(code, 0, "CLOCK_MONOTONIC cannot be read");
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}

/// Sleeps for `duration_ms` milliseconds; returns at once for 0.
pub async fn sleep_ms(duration_ms: u64) {
    if duration_ms > 0 {
        monoio::time::sleep(Duration::from_millis(duration_ms)).await;
    }
}

/// Sleeps until the monotonic clock reads `time_ms` milliseconds.
pub async fn sleep_until_ms(time_ms: u64) {
    sleep_ms(time_ms.saturating_sub(monotonic_ms())).await;
}
