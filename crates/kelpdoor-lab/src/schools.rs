//! Schools of a lab: an issuer of their tokens that can change its key, and the keeper of their seats as a process that
//! can be killed, stalled and restarted.

use std::io::Write as _;
use std::os::unix::fs::OpenOptionsExt as _;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::{fs, io};

use anyhow::{Context, Result, anyhow};
use kelpdoor_keeper::{KeeperClientMessage, KeeperServerMessage};
use kelpdoor_tokens::{Audience, Claims, Issuer, key_set};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

use crate::daemon::Daemon;
use crate::record::now;
use crate::trouble::DaySettings;

/// Placeholder in settings for the path of the key set.
pub const KEYS_PLACEHOLDER: &str = "keys-of-the-lab.json";
/// Placeholder in settings for the keeper's address.
pub const KEEPER_PLACEHOLDER: &str = "127.0.0.1:1";
/// Audience of the tokens.
pub const AUDIENCE: &str = "kelpdoor-lab";

/// Arguments of `keeper` that are the same for directors and the keeper.
const LEASE_SETTINGS: &str = "lease = 14, clock_error = 0.5, beat_every = 1.5";

/// The part of a director's settings that concerns schools; empty if the day has none. `group` holds arguments of the
/// group `ticket`.
pub fn settings(size: &DaySettings, group: &str) -> String {
    if size.schools == 0 {
        return String::new();
    }
    format!(
        "group(\"ticket\", {group}, token = True)\n\
         tokens(keys = \"{KEYS_PLACEHOLDER}\", audience = \"{AUDIENCE}\", warn = 1.5, reread = 0.2, longest = 600)\n\
         keeper(address = \"{KEEPER_PLACEHOLDER}\", {LEASE_SETTINGS}, wait = 0.4, ahead = 2)\n"
    )
}

/// Name of a school by its number.
pub fn school_name(k: u32) -> String {
    format!("school-{k}")
}

/// Issues the tokens of all schools and writes the key set that directors read.
pub struct TokenIssuer {
    keys: PathBuf,
    /// Every key in the key set. The last one signs.
    issuers: Mutex<Vec<Issuer>>,
}

impl TokenIssuer {
    /// Creates an issuer with one key, and the key set in `dir`.
    ///
    /// # Errors
    /// If no key can be made or the key set cannot be written.
    pub fn new(dir: &Path) -> Result<Arc<Self>> {
        let token_issuer = TokenIssuer { keys: dir.join(KEYS_PLACEHOLDER), issuers: Mutex::new(Vec::new()) };
        token_issuer.next_key()?;
        Ok(Arc::new(token_issuer))
    }

    /// Path of the key set.
    pub fn key_set_path(&self) -> &Path {
        &self.keys
    }

    /// Replaces the key set in one step.
    fn write_key_set(&self, issuers: &[Issuer]) -> io::Result<()> {
        let new = self.keys.with_extension("new");
        fs::write(&new, key_set(issuers))?;
        fs::rename(new, &self.keys)
    }

    /// Signs with a new key from now on. Older keys stay in the key set.
    ///
    /// # Errors
    /// If no key can be made or the key set cannot be written.
    pub fn next_key(&self) -> Result<()> {
        let mut issuers = self.issuers.lock().unwrap_or_else(|e| e.into_inner());
        let kid = format!("key-{}", issuers.len() + 1);
        issuers.push(Issuer::new(&kid).map_err(|e| anyhow!(e))?);
        Ok(self.write_key_set(&issuers)?)
    }

    /// Removes all keys but the latest from the key set.
    ///
    /// # Errors
    /// If the key set cannot be written.
    pub fn retire_old_keys(&self) -> Result<()> {
        let mut issuers = self.issuers.lock().unwrap_or_else(|e| e.into_inner());
        let old = issuers.len().saturating_sub(1);
        issuers.drain(..old);
        Ok(self.write_key_set(&issuers)?)
    }

    /// Issues a token that is valid for `lasts` seconds.
    ///
    /// # Errors
    /// If it cannot be signed.
    pub fn token(&self, school: &str, id: &str, lasts: f64) -> Result<String> {
        let now = now();
        let claims = Claims {
            aud: Audience::One(AUDIENCE.into()),
            school: school.into(),
            group: Some("ticket".into()),
            seat_class: None,
            jti: id.into(),
            iat: now,
            nbf: None,
            exp: now + lasts,
        };
        let issuers = self.issuers.lock().unwrap_or_else(|e| e.into_inner());
        let latest = issuers.last().context("the token issuer has no key")?;
        latest.sign(&claims).map_err(|e| anyhow!(e))
    }
}

/// Loads the key pair in a directory, or creates it there together with its key set.
///
/// # Errors
/// If the directory cannot be written or the key pair cannot be read.
pub fn load_or_create_issuer(folder: &Path) -> Result<Issuer> {
    fs::create_dir_all(folder).with_context(|| folder.display().to_string())?;
    let path = folder.join("issuer.pk8");
    if !path.exists() {
        let issuer = Issuer::new("key-1").map_err(|e| anyhow!(e))?;
        let mut file = fs::OpenOptions::new().write(true).create_new(true).mode(0o600).open(&path)?;
        file.write_all(issuer.pkcs8())?;
        fs::write(folder.join("keys.json"), key_set([&issuer]))?;
    }
    let pkcs8 = fs::read(&path).with_context(|| path.display().to_string())?;
    Issuer::from_pkcs8("key-1", &pkcs8).map_err(|e| anyhow!("{}: {e}", path.display()))
}

/// The keeper, run as a process.
pub struct KeeperProcess {
    program: PathBuf,
    dir: PathBuf,
    schools: u32,
    seats: u32,
    /// Where it listens; the same after a restart.
    pub address: String,
    child: Option<Daemon>,
}

impl KeeperProcess {
    /// Starts a keeper on a free port, with its ledger, settings and log in `dir`.
    ///
    /// # Errors
    /// If it cannot be started.
    pub async fn start(program: &Path, dir: &Path, size: &DaySettings) -> Result<Self> {
        let mut keeper = KeeperProcess {
            program: program.to_owned(),
            dir: dir.to_owned(),
            schools: size.schools,
            seats: size.seats,
            address: "127.0.0.1:0".into(),
            child: None,
        };
        keeper.restart().await?;
        Ok(keeper)
    }

    fn script(&self) -> String {
        let ledger = self.dir.join("ledger").display().to_string();
        let mut text =
            format!("keeper(listen = \"{}\", ledger = {ledger:?}, {LEASE_SETTINGS})\n", self.address);
        for k in 0..self.schools {
            text += &format!("school({:?}, seats = {})\n", school_name(k), self.seats);
        }
        text
    }

    /// Starts the keeper again on the same address.
    ///
    /// # Errors
    /// If it cannot be started.
    pub async fn restart(&mut self) -> Result<()> {
        let path = self.dir.join("keeper.star");
        fs::write(&path, self.script())?;
        let arguments = ["keeper", "--config", &path.display().to_string()];
        let daemon = Daemon::start(&self.program, &arguments, &self.dir.join("keeper.log")).await?;
        self.address.clone_from(&daemon.address);
        self.child = Some(daemon);
        Ok(())
    }

    /// Kills the process, if it runs.
    pub async fn kill(&mut self) {
        if let Some(mut daemon) = self.child.take() {
            let _ = daemon.child.kill().await;
        }
    }

    /// Stops (`on`) or continues the process, if it runs.
    pub fn stall(&self, on: bool) {
        let signal = if on { Signal::SIGSTOP } else { Signal::SIGCONT };
        if let Some(pid) = self.child.as_ref().and_then(|c| c.child.id()) {
            let _ = kill(Pid::from_raw(pid as i32), signal);
        }
    }

    /// Asks the keeper for the numbers of seats held and leased, over all schools.
    ///
    /// # Errors
    /// If it does not answer.
    pub async fn seat_counts(&self) -> Result<(u32, u32)> {
        let mut stream = TcpStream::connect(&self.address).await?;
        let mut request = serde_json::to_vec(&KeeperClientMessage::Status)?;
        request.push(b'\n');
        stream.write_all(&request).await?;
        let line = BufReader::new(stream)
            .lines()
            .next_line()
            .await?
            .context("the keeper closed the connection without an answer")?;
        let KeeperServerMessage::Status { schools, .. } = serde_json::from_str(&line)? else {
            return Err(anyhow!("unexpected answer of the keeper: {line}"));
        };
        Ok((schools.iter().map(|s| s.held).sum(), schools.iter().map(|s| s.leased).sum()))
    }
}
