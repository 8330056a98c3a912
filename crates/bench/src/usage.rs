//! Processor time and memory of a process, read from `/proc`.

use std::io;

/// What a process has used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Processor time in user and kernel mode since the start of the
    /// process.
    pub cpu_secs: f64,
    /// Resident memory at present.
    pub memory_mib: f64,
}

/// Reads the usage of process `pid`.
///
/// # Errors
///
/// Returns an error if there is no such process or the files in `/proc` are
/// malformed.
pub fn process_usage(pid: u32) -> io::Result<Usage> {
    let malformed = || io::Error::other(format!("/proc/{pid} is malformed"));
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The second field, the command in parentheses, may contain spaces and
    // parentheses; it ends at the last closing one. Of the fields after it,
    // 11 and 12 are utime and stime.
    let (_, rest) = stat.rsplit_once(')').ok_or_else(malformed)?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let mut ticks = 0_u64;
    for index in [11, 12] {
        let field = fields.get(index).ok_or_else(malformed)?;
        ticks += field.parse::<u64>().map_err(|_| malformed())?;
    }
    // SAFETY: sysconf takes no pointers.
    let ticks_per_sec = unsafe { libc::sysconf(libc::_SC_CLK_TCK) };
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status
        .lines()
        .find_map(|l| l.strip_prefix("VmRSS:"))
        .ok_or_else(malformed)?;
    let kib = line.trim().trim_end_matches(" kB").parse::<f64>();
    Ok(Usage {
        cpu_secs: ticks as f64 / ticks_per_sec as f64,
        memory_mib: kib.map_err(|_| malformed())? / 1_024.0,
    })
}
