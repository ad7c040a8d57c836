//! The record of a day: every message that the stand-ins read or wrote, with its time, and every trouble. The file holds
//! JSON lines compressed by zstd and is the checker's only input.

use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::sync::mpsc::{Sender, channel};
use std::thread::JoinHandle;
use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result};
use serde::{Deserialize, Serialize};

/// Seconds since the Unix epoch.
pub fn now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64())
}

/// What a record holds. Numbers of nodes, directors, players and voters start at 0.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The first event: the settings that all directors share, as `kelpdoord check --json` prints them.
    Settings { text: String },
    /// A node's process started. `places` is the number of sessions that it can hold.
    NodeUp { node: u32, cold: bool, places: f64, zone: String, cell: u16 },
    /// A node's process ended.
    NodeDown { node: u32, why: String },
    /// A connection to a node was opened or closed.
    NodeConn { node: u32, conn: u64, open: bool },
    /// A message that a node read (`got`) or wrote.
    Node { node: u32, conn: u64, got: bool, text: String },
    /// A stream ended at its node: how long it played, and the share of its rate that it got.
    Stream { node: u32, key: String, seconds: f64, share: f64 },
    /// The session that a viewer wants, recorded before its first attempt.
    Wish { player: u32, group: String, best_rung: u8, seconds: f64 },
    /// A player opened or closed a socket to a director.
    PlayerSock { player: u32, director: u32, boot: u32, open: bool },
    /// A message that a player read (`got`) or wrote.
    Player { player: u32, director: u32, boot: u32, got: bool, text: String },
    /// A line that the roster wrote to a director.
    Roster { director: u32, text: String },
    /// A director's process: `started`, `killed`, `stalled`, `resumed` or `ending`.
    Director { director: u32, boot: u32, event: String },
    /// A trouble begins.
    Trouble { text: String },
    /// The number of seats that each school bought.
    Schools { seats: u32 },
    /// The keeper's process: `killed`, `started`, `stalled` or `resumed`.
    Keeper { event: String },
    /// A voter's process: `started`, `killed`, `stalled`, `resumed`, or a fault of its disk.
    Voter { voter: u32, event: String },
    /// A document was proposed. `digest` is the first 16 hexadecimal digits of its SHA-256.
    Proposed {
        change: u32,
        digest: String,
        after: u64,
        story_floor: u8,
        /// Nodes that the document drains or does not list.
        #[serde(default)]
        without: Vec<u32>,
    },
    /// The response to a proposal.
    Outcome { change: u32, digest: String, said: String },
    /// The last trouble has ended and all connections work again.
    Calm,
    /// The seats that the keeper counts as held after all sessions have ended.
    SeatsLeft { held: u32 },
}

/// One line of a record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Seconds since the Unix epoch.
    pub t: f64,
    pub what: Event,
}

/// Collects events from all stand-ins and passes them to the thread that writes the file. Clones share the file.
#[derive(Clone)]
pub struct Recorder(Option<Sender<Option<Entry>>>);

/// The thread that writes the file.
pub struct RecordWriter {
    end: Sender<Option<Entry>>,
    thread: JoinHandle<Result<()>>,
}

impl Recorder {
    /// Creates the file and starts the thread that writes it.
    ///
    /// # Errors
    /// If the file cannot be created.
    pub fn to_file(path: &Path) -> Result<(Recorder, RecordWriter)> {
        let file = File::create(path).with_context(|| path.display().to_string())?;
        let (sender, receiver) = channel::<Option<Entry>>();
        let thread = std::thread::spawn(move || {
            let mut out = zstd::Encoder::new(file, 3)?;
            while let Ok(Some(line)) = receiver.recv() {
                serde_json::to_writer(&mut out, &line)?;
                out.write_all(b"\n")?;
            }
            out.finish()?.sync_all()?;
            Ok(())
        });
        Ok((Recorder(Some(sender.clone())), RecordWriter { end: sender, thread }))
    }

    /// A recorder that drops all events, for load runs.
    pub fn disabled() -> Recorder {
        Recorder(None)
    }

    /// Records an event with the current time.
    pub fn record(&self, what: Event) {
        if let Some(sender) = &self.0 {
            let _ = sender.send(Some(Entry { t: now(), what }));
        }
    }

    /// Whether events are written anywhere.
    pub fn is_enabled(&self) -> bool {
        self.0.is_some()
    }
}

impl RecordWriter {
    /// Waits until all events recorded so far are on disk. Events recorded later are dropped.
    ///
    /// # Errors
    /// If the file could not be written.
    pub fn finish(self) -> Result<()> {
        let _ = self.end.send(None);
        self.thread.join().map_err(|_| anyhow::anyhow!("the recorder's thread panicked"))?
    }
}

/// Reads a record.
///
/// # Errors
/// If the file cannot be read or a line cannot be parsed, with the number of the line.
pub fn read(path: &Path) -> Result<Vec<Entry>> {
    let file = File::open(path).with_context(|| path.display().to_string())?;
    let lines = BufReader::new(zstd::Decoder::new(file)?).lines();
    let parse = |(k, line): (usize, std::io::Result<String>)| {
        let at = || format!("{} line {}", path.display(), k + 1);
        serde_json::from_str(&line.with_context(at)?).with_context(at)
    };
    lines.enumerate().map(parse).collect()
}
