//! Processor time and memory of a process.

use std::io;

/// Processor time and resident memory of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Processor time in user and kernel mode, in seconds.
    pub cpu: f64,
    /// Resident memory, in MiB.
    pub memory: f64,
}

/// Reads the usage of process `id` from `/proc`.
///
/// # Errors
///
/// Returns an error if the process is gone or the files are malformed.
pub fn of(id: u32) -> io::Result<Usage> {
    let malformed = || io::Error::other(format!("/proc/{id} is malformed"));
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    // The second field, the command, may hold spaces; it ends at the last
    // closing bracket.
    let (_, rest) = stat.rsplit_once(')').ok_or_else(malformed)?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let mut ticks = 0_u64;
    for index in [11, 12] {
        let field = fields.get(index).ok_or_else(malformed)?;
        ticks += field.parse::<u64>().map_err(|_| malformed())?;
    }
    // SAFETY: sysconf takes no pointers.
    let per_second = unsafe { libc::sysconf(libc::_SC_CLK_TCK) };
    let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status
        .lines()
        .find_map(|l| l.strip_prefix("VmRSS:"))
        .ok_or_else(malformed)?;
    let kib = line.trim().trim_end_matches(" kB").parse::<f64>();
    Ok(Usage {
        cpu: ticks as f64 / per_second as f64,
        memory: kib.map_err(|_| malformed())? / 1_024.0,
    })
}
