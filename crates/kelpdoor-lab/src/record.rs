//! The record: every message as the stand-ins read or wrote it, with its time, and what was done to whom. JSON
//! lines, compressed by zstd. The checker knows nothing but this.

use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::sync::mpsc::{Sender, channel};
use std::thread::JoinHandle;
use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result};
use serde::{Deserialize, Serialize};

pub fn now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64())
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// First: the settings that all directors share, as `kelpdoord check --json` prints them.
    Settings {
        text: String,
    },
    /// A node's process began, with so many places; and ended.
    NodeUp {
        node: u32,
        cold: bool,
        places: f64,
        zone: String,
        cell: u16,
    },
    NodeDown {
        node: u32,
        why: String,
    },
    NodeConn {
        node: u32,
        conn: u64,
        open: bool,
    },
    /// A message that a node read (`got`) or wrote.
    Node {
        node: u32,
        conn: u64,
        got: bool,
        text: String,
    },
    /// A stream is over at its node: how long it played and what share of its rate it got.
    Stream {
        node: u32,
        key: String,
        seconds: f64,
        share: f64,
    },
    /// What a viewer wants, before any try.
    Wish {
        player: u32,
        group: String,
        best_rung: u8,
        seconds: f64,
    },
    PlayerSock {
        player: u32,
        director: u32,
        boot: u32,
        open: bool,
    },
    Player {
        player: u32,
        director: u32,
        boot: u32,
        got: bool,
        text: String,
    },
    /// A line that the roster wrote to a director.
    Roster {
        director: u32,
        text: String,
    },
    /// `started`, `killed`, `stalled`, `resumed`, `ending`.
    Director {
        director: u32,
        boot: u32,
        event: String,
    },
    Trouble {
        text: String,
    },
    /// What each school bought.
    Schools {
        seats: u32,
    },
    /// The keeper of seats: `killed`, `started`, `stalled`, `resumed`.
    Keeper {
        event: String,
    },
    /// A voter: `started`, `killed`, `stalled`, `resumed`, and what becomes of its disk.
    Voter {
        voter: u32,
        event: String,
    },
    /// A document is proposed; `digest`: the first 16 hexadecimal digits of its SHA-256.
    Proposed {
        change: u32,
        digest: String,
        after: u64,
        story_floor: u8,
        /// Nodes that it drains or does not list.
        #[serde(default)]
        without: Vec<u32>,
    },
    /// What the proposer was told.
    Outcome {
        change: u32,
        digest: String,
        said: String,
    },
    /// The last trouble is over, all that was cut is whole.
    Calm,
    /// What it still counts as held at the very end.
    SeatsLeft {
        held: u32,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub t: f64,
    pub what: Event,
}

/// Takes lines from all stand-ins; one thread writes them.
#[derive(Clone)]
pub struct Recorder(Option<Sender<Option<Entry>>>);

pub struct RecordWriter {
    end: Sender<Option<Entry>>,
    thread: JoinHandle<Result<()>>,
}

impl Recorder {
    pub fn to_file(path: &Path) -> Result<(Recorder, RecordWriter)> {
        let file = File::create(path).with_context(|| path.display().to_string())?;
        let (to, from) = channel::<Option<Entry>>();
        let thread = std::thread::spawn(move || {
            let mut out = zstd::Encoder::new(file, 3)?;
            while let Ok(Some(line)) = from.recv() {
                serde_json::to_writer(&mut out, &line)?;
                out.write_all(b"\n")?;
            }
            out.finish()?.sync_all()?;
            Ok(())
        });
        Ok((Recorder(Some(to.clone())), RecordWriter { end: to, thread }))
    }

    /// Keeps nothing, for load runs.
    pub fn disabled() -> Recorder {
        Recorder(None)
    }

    pub fn record(&self, what: Event) {
        if let Some(to) = &self.0 {
            let _ = to.send(Some(Entry { t: now(), what }));
        }
    }

    pub fn is_enabled(&self) -> bool {
        self.0.is_some()
    }
}

impl RecordWriter {
    /// Waits until all that was put so far is on disk; what stand-ins still put later is dropped.
    pub fn finish(self) -> Result<()> {
        let _ = self.end.send(None);
        self.thread.join().map_err(|_| anyhow::anyhow!("the recorder's thread panicked"))?
    }
}

/// Reads a record back.
///
/// # Errors
/// Where a line is none, with its number.
pub fn read(path: &Path) -> Result<Vec<Entry>> {
    let file = File::open(path).with_context(|| path.display().to_string())?;
    let lines = BufReader::new(zstd::Decoder::new(file)?).lines();
    let parse = |(k, line): (usize, std::io::Result<String>)| {
        let at = || format!("{} line {}", path.display(), k + 1);
        serde_json::from_str(&line.with_context(at)?).with_context(at)
    };
    lines.enumerate().map(parse).collect()
}
