//! A stand-in roster: a feed of JSON lines that reports each change after a configurable lag.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Result;
use kelpdoor_director::{Phase, RosterMessage, RosterNode, RosterRequest, RosterTitle};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::record::{Event, Recorder, now};

struct State {
    /// Changes of nodes, with their times in seconds since the Unix epoch. A position in this log is a version.
    log: Vec<(f64, RosterNode)>,
    titles: Vec<RosterTitle>,
    /// Delay in seconds after which a change is sent.
    lag: f64,
}

/// The roster service. Clones share its state.
#[derive(Clone)]
pub struct Roster {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<()>,
    recorder: Recorder,
}

impl Roster {
    /// Creates a roster without nodes.
    pub fn new(titles: Vec<RosterTitle>, lag: f64, recorder: Recorder) -> Self {
        let state = State { log: Vec::new(), titles, lag };
        Roster { state: Arc::new(Mutex::new(state)), changed: watch::channel(()).0, recorder }
    }

    /// Changes the state and wakes up all connections.
    fn update<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        let done = act(&mut self.state.lock().unwrap_or_else(|e| e.into_inner()));
        self.changed.send_replace(());
        done
    }

    /// Adds a node or replaces its entry.
    pub fn set_node(&self, node: RosterNode) {
        self.update(|s| s.log.push((now(), node)));
    }

    /// Sets the lag of changes, in seconds.
    pub fn set_lag(&self, lag: f64) {
        self.update(|s| s.lag = lag);
    }

    /// Changes the phase of a node, if it is known.
    pub fn set_phase(&self, id: u32, phase: Phase) {
        self.update(|s| {
            let last = s.log.iter().rev().find(|(_, n)| n.id == id).map(|(_, n)| n.clone());
            if let Some(node) = last {
                s.log.push((now(), RosterNode { phase, ..node }));
            }
        });
    }

    /// Marks a node as gone.
    pub fn remove_node(&self, id: u32) {
        self.set_phase(id, Phase::Gone);
    }

    /// Accepts connections until the task is dropped.
    pub async fn serve(self, listener: TcpListener) {
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(self.clone().serve_connection(stream));
            }
        }
    }

    /// Binds a listener on loopback and returns it with its address.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn bind() -> Result<(TcpListener, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        Ok((listener, address))
    }

    /// End of the log entries that are due by now, starting at `from`, and the seconds until the next entry is due.
    fn due_entries(&self, from: usize) -> (usize, Option<f64>) {
        let s = self.state.lock().unwrap_or_else(|e| e.into_inner());
        let t = now() - s.lag;
        let due = s.log[from..].iter().take_while(|(at, _)| *at <= t).count();
        (from + due, s.log.get(from + due).map(|(at, _)| at - t))
    }

    /// The full list of nodes and titles at a position of the log.
    fn full_list(&self, upto: usize) -> RosterMessage {
        let s = self.state.lock().unwrap_or_else(|e| e.into_inner());
        let mut nodes = std::collections::BTreeMap::new();
        for (_, n) in &s.log[..upto] {
            if n.phase == Phase::Gone {
                nodes.remove(&n.id);
            } else {
                nodes.insert(n.id, n.clone());
            }
        }
        RosterMessage::Whole {
            version: upto as u64,
            nodes: nodes.into_values().collect(),
            titles: s.titles.clone(),
        }
    }

    /// The changes between two positions of the log.
    fn changes(&self, from: usize, to: usize) -> RosterMessage {
        let s = self.state.lock().unwrap_or_else(|e| e.into_inner());
        // Only the last entry of each node.
        let mut nodes = std::collections::BTreeMap::new();
        s.log[from..to].iter().for_each(|(_, n)| {
            nodes.insert(n.id, n.clone());
        });
        RosterMessage::Change { version: to as u64, nodes: nodes.into_values().collect(), titles: Vec::new() }
    }

    /// Sends the full list and then each change as it becomes due, until the connection closes.
    async fn serve_connection(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (read, mut write) = stream.into_split();
        let mut lines = BufReader::new(read).lines();
        let Ok(Some(first)) = lines.next_line().await else { return };
        let Ok(RosterRequest::Hello { director }) = serde_json::from_str(&first) else { return };
        let mut changed = self.changed.subscribe();
        let (mut at, _) = self.due_entries(0);
        let mut message = Some(self.full_list(at));
        loop {
            if let Some(message) = message.take() {
                let Ok(mut text) = serde_json::to_string(&message) else { return };
                self.recorder.record(Event::Roster { director, text: text.clone() });
                text.push('\n');
                if write.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
            }
            let (due, next) = self.due_entries(at);
            if due > at {
                message = Some(self.changes(at, due));
                at = due;
                continue;
            }
            let wait = Duration::from_secs_f64(next.unwrap_or(3600.0).clamp(0.001, 3600.0));
            tokio::select! {
                _ = changed.changed() => {}
                () = tokio::time::sleep(wait) => {}
                line = lines.next_line() => match line {
                    Ok(Some(text)) => match serde_json::from_str(&text) {
                        Ok(RosterRequest::Whole) => message = Some(self.full_list(at)),
                        Ok(_) => {}
                        Err(_) => return,
                    },
                    _ => return,
                },
            }
        }
    }
}
