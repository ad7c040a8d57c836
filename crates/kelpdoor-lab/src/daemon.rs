//! The daemon as a process of its own: this very binary, run as the daemon, ended with the lab by its standard input.

use std::ffi::OsStr;
use std::fs::OpenOptions;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;

use anyhow::{Context, Result};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, ChildStdin, Command};
use tokio::time::timeout;

/// It says where it listens within this, if it ever does.
const START: Duration = Duration::from_secs(20);

pub struct Daemon {
    pub child: Child,
    /// Held open: the daemon ends when it closes.
    _stdin: Option<ChildStdin>,
    /// Where it listens, as it says.
    pub address: String,
}

impl Daemon {
    /// Starts it, its log added to that file, and waits until it listens.
    ///
    /// # Errors
    /// Where it cannot be started or ends at once; the log tells why.
    pub async fn start<S: AsRef<OsStr>>(program: &Path, arguments: &[S], log: &Path) -> Result<Daemon> {
        let file = OpenOptions::new().create(true).append(true).open(log)?;
        let mut child = Command::new(program)
            .arg("director")
            .args(arguments)
            .arg("--stay-with-stdin")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::from(file))
            .kill_on_drop(true)
            .spawn()
            .context("starting the daemon")?;
        let out = child.stdout.take().context("the daemon's output")?;
        let mut lines = BufReader::new(out).lines();
        let see = || format!("see {}", log.display());
        let line = timeout(START, lines.next_line())
            .await
            .with_context(|| format!("it does not start; {}", see()))??;
        let line = line.with_context(|| format!("it ended at once; {}", see()))?;
        let address = line.rsplit(' ').next().unwrap_or("").to_owned();
        Ok(Daemon { _stdin: child.stdin.take(), child, address })
    }
}
