//! Runs the daemon as a child process. The child holds the read end of a pipe as its standard input and exits when the lab
//! does.

use std::ffi::OsStr;
use std::fs::OpenOptions;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;

use anyhow::{Context, Result};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, ChildStdin, Command};
use tokio::time::timeout;

/// Maximum time until the daemon prints the address that it listens on.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A running daemon; it is killed on drop.
pub struct Daemon {
    pub child: Child,
    /// Kept open: the daemon exits when this end of the pipe closes.
    _stdin: Option<ChildStdin>,
    /// The address that it printed.
    pub address: String,
}

impl Daemon {
    /// Starts the daemon with `arguments`, appends its standard error to `log`, and waits until it listens.
    ///
    /// # Errors
    /// If it cannot be started, exits at once or does not listen in time. The log states why.
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
        let stdout = child.stdout.take().context("the daemon has no standard output")?;
        let mut lines = BufReader::new(stdout).lines();
        let see_log = || format!("see {}", log.display());
        let line = timeout(START_TIMEOUT, lines.next_line())
            .await
            .with_context(|| format!("the daemon does not start; {}", see_log()))??;
        let line = line.with_context(|| format!("the daemon exited at once; {}", see_log()))?;
        let address = line.rsplit(' ').next().unwrap_or("").to_owned();
        Ok(Daemon { _stdin: child.stdin.take(), child, address })
    }
}
