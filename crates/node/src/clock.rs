//! The VM's monotonic clock.

use lagoondyke_core::clock::Millis;

/// The present time of `CLOCK_MONOTONIC`.
///
/// `std::time::Instant` reads the same clock but does not give its value,
/// which grants to the upstream on the same VM must name.
///
/// # Panics
///
/// Panics if the system has no monotonic clock.
#[must_use]
pub fn now() -> Millis {
    read(libc::CLOCK_MONOTONIC)
}

/// The present time of `CLOCK_BOOTTIME`, which goes on while the VM is
/// suspended: a lease ends then as well.
///
/// # Panics
///
/// Panics if the system has no such clock.
#[must_use]
pub fn since_boot() -> Millis {
    read(libc::CLOCK_BOOTTIME)
}

fn read(clock: libc::clockid_t) -> Millis {
    let mut time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: `time` is a valid `timespec` that outlives the call.
    let code = unsafe { libc::clock_gettime(clock, &raw mut time) };
    assert_eq!(code, 0, "the clock {clock} cannot be read");
    Millis(time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000)
}
