//! Processor time, memory and file descriptors of processes, read from `/proc`.

use std::fs;

use anyhow::{Context, Result};
use nix::unistd::{SysconfVar, sysconf};

/// Resources that a process uses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessUsage {
    /// User and system processor time since the process started, in seconds.
    pub core: f64,
    /// Resident memory in bytes.
    pub memory: f64,
    /// Open file descriptors.
    pub descriptors: f64,
}

/// Reads the resource usage of a process.
///
/// # Errors
/// The process does not exist, or `/proc` has an unexpected format.
pub fn usage(pid: u32) -> Result<ProcessUsage> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).with_context(|| format!("process {pid}"))?;
    // The process name is enclosed in parentheses and may contain spaces and parentheses.
    let after_name = stat.rsplit_once(')').context("/proc/PID/stat has no process name")?.1;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let field = |k: usize| -> Result<f64> {
        Ok(fields.get(k).context("/proc/PID/stat has too few fields")?.parse()?)
    };
    let system_value = |v| -> Result<f64> { Ok(sysconf(v)?.context("the system reports no value")? as f64) };
    let (ticks_per_second, page_bytes) =
        (system_value(SysconfVar::CLK_TCK)?, system_value(SysconfVar::PAGE_SIZE)?);
    // Fields 14 (utime), 15 (stime) and 24 (rss) of the line; `fields` starts at field 3.
    Ok(ProcessUsage {
        core: (field(11)? + field(12)?) / ticks_per_second,
        memory: field(21)? * page_bytes,
        descriptors: fs::read_dir(format!("/proc/{pid}/fd"))?.count() as f64,
    })
}

/// Limit of open file descriptors of this process and its children.
///
/// # Errors
/// The system reports no limit.
pub fn max_descriptors() -> Result<u64> {
    Ok(sysconf(SysconfVar::OPEN_MAX)?.context("the system reports no value")? as u64)
}

/// Load average of the last minute.
///
/// # Errors
/// `/proc/loadavg` cannot be read.
pub fn load_average() -> Result<f64> {
    let text = fs::read_to_string("/proc/loadavg")?;
    Ok(text.split(' ').next().context("/proc/loadavg is empty")?.parse()?)
}
