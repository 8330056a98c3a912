//! The VM's monotonic clocks.

use lagoondyke_core::clock::Millis;

/// The present time of `CLOCK_MONOTONIC`.
///
/// `std::time::Instant` reads the same clock but does not expose its value,
/// which grants carry to the upstream on the same VM.
///
/// # Panics
///
/// Panics if the system has no monotonic clock.
#[must_use]
pub fn now() -> Millis {
    read_clock(libc::CLOCK_MONOTONIC)
}

/// The present time of `CLOCK_BOOTTIME`, which unlike `CLOCK_MONOTONIC` also
/// advances while the VM is suspended. A lease ends during that time too.
///
/// # Panics
///
/// Panics if the system has no such clock.
#[must_use]
pub fn since_boot() -> Millis {
    read_clock(libc::CLOCK_BOOTTIME)
}

fn read_clock(clock: libc::clockid_t) -> Millis {
    let mut time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: `time` is a valid `timespec` that outlives the call.
    let code = unsafe { libc::clock_gettime(clock, &raw mut time) };
    assert_eq!(code, 0, "clock_gettime failed for clock {clock}");
    Millis(time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000)
}
