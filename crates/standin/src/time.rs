//! The clock shared by all processes of one machine.

use std::time::Duration;

/// Milliseconds of `CLOCK_MONOTONIC`. Two processes of one machine read the
/// same clock, so a checker can compare instants that they recorded.
///
/// # Panics
///
/// Panics if the clock cannot be read, which Linux never reports.
#[must_use]
pub fn monotonic_ms() -> u64 {
    monotonic_us() / 1_000
}

/// Microseconds of `CLOCK_MONOTONIC`.
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

/// Sleeps for `span` milliseconds; returns at once for 0.
pub async fn sleep_ms(span: u64) {
    if span > 0 {
        monoio::time::sleep(Duration::from_millis(span)).await;
    }
}

/// Sleeps until the monotonic clock reads `instant` milliseconds.
pub async fn sleep_until_ms(instant: u64) {
    sleep_ms(instant.saturating_sub(monotonic_ms())).await;
}
