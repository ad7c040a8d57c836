//! Processor time, memory and descriptors of processes, as the system counts them.

use std::fs;

use anyhow::{Context, Result};
use nix::unistd::{SysconfVar, sysconf};

/// Of a process, as of now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessUsage {
    /// s of a core since its start, in itself and in the system for it.
    pub core: f64,
    /// B held in memory.
    pub memory: f64,
    pub descriptors: f64,
}

/// # Errors
/// Where there is no such process, or the system tells of it otherwise than expected.
pub fn usage(pid: u32) -> Result<ProcessUsage> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).with_context(|| format!("process {pid}"))?;
    // The name, in brackets, may hold anything.
    let after = stat.rsplit_once(')').context("no name in stat")?.1;
    let fields: Vec<&str> = after.split_whitespace().collect();
    let field = |k: usize| -> Result<f64> { Ok(fields.get(k).context("stat is short")?.parse()?) };
    let of = |v| -> Result<f64> { Ok(sysconf(v)?.context("not told by the system")? as f64) };
    let (ticks, page) = (of(SysconfVar::CLK_TCK)?, of(SysconfVar::PAGE_SIZE)?);
    // Fields 14 and 15 of the whole line, and 24; the first here is the third.
    Ok(ProcessUsage {
        core: (field(11)? + field(12)?) / ticks,
        memory: field(21)? * page,
        descriptors: fs::read_dir(format!("/proc/{pid}/fd"))?.count() as f64,
    })
}

/// Descriptors that this process, and each that it starts, may hold.
///
/// # Errors
/// Where the system does not tell.
pub fn max_descriptors() -> Result<u64> {
    Ok(sysconf(SysconfVar::OPEN_MAX)?.context("not told by the system")? as u64)
}

/// Processes that ran or waited to run, over the last minute.
///
/// # Errors
/// Where the system does not tell.
pub fn load_average() -> Result<f64> {
    let all = fs::read_to_string("/proc/loadavg")?;
    Ok(all.split(' ').next().context("no load")?.parse()?)
}
