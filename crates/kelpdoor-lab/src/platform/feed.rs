//! The change log: numbered events over server-sent events, to each director at an address of its own.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::timeout;

use super::{NodeState, Platform};
use crate::record::Event;

/// What becomes of an open stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Turn {
    /// There is news.
    News,
    /// It ends in the middle of an event.
    Break,
    /// It says nothing any more, and stays open.
    Mute,
}

fn host(id: u32, n: &NodeState, director: u32) -> Value {
    json!({"host": format!("s-{id}"), "dial": format!("127.0.0.1:{}", n.ports[director as usize]), "site": "one", "class": "box",
        "block": n.cell, "health": n.phase, "share": 3, "born_ms": n.born_ms})
}

/// Events name nodes by id alone; each director reaches them at addresses of its own.
pub fn for_director(events: &[Value], nodes: &BTreeMap<u32, NodeState>, director: u32) -> Vec<Value> {
    let fill = |event: &Value| {
        let mut event = event.clone();
        for h in event["fleet"]["hosts"].as_array_mut().into_iter().flatten() {
            let id = h["host"].as_str().and_then(|h| h.strip_prefix("s-")?.parse().ok()).unwrap_or(u32::MAX);
            if let Some(n) = nodes.get(&id) {
                h["dial"] = format!("127.0.0.1:{}", n.ports[director as usize]).into();
            }
        }
        event
    };
    events.iter().map(fill).collect()
}

pub fn line_for_checker(id: u32, n: &NodeState) -> Value {
    let phase = match n.phase {
        "up" => "ready",
        "removed" => "gone",
        other => other,
    };
    json!({"id": id, "phase": phase, "up_since": n.born_ms as f64 / 1000.0})
}

/// s; what changes counts as told by then, whether a director listens or not.
const TOLD_WITHIN: f64 = 4.0;

impl Platform {
    /// A node changed: one more event.
    pub(super) fn tell(&self, id: u32, phase: &'static str) {
        let mut s = self.lock();
        let Some(n) = s.nodes.get_mut(&id) else { return };
        n.phase = phase;
        let line = host(id, n, 0);
        let number = s.events.len() + 1;
        s.events.push(
            json!({"seq": number, "fleet": {"seq": number, "whole": false, "hosts": [line]}}).to_string(),
        );
        s.feeds.values().for_each(|f| {
            let _ = f.send(Turn::News);
        });
        drop(s);
        let me = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_secs_f64(TOLD_WITHIN)).await;
            let s = me.lock();
            let Some(n) = s.nodes.get(&id) else { return };
            let text = json!({"change": {"nodes": [line_for_checker(id, n)]}}).to_string();
            for (d, _) in s.directors.iter().enumerate().filter(|(_, of)| of.child.is_some()) {
                me.recorder.record(Event::Roster { director: d as u32, text: text.clone() });
            }
        });
    }

    /// The first event, with all nodes.
    pub(super) fn tell_all(&self) {
        let mut s = self.lock();
        let hosts: Vec<Value> = s.nodes.iter().map(|(&id, n)| host(id, n, 0)).collect();
        s.events = vec![json!({"seq": 1, "fleet": {"seq": 1, "whole": true, "hosts": hosts}}).to_string()];
    }

    pub(super) fn turn_feeds(&self, turn: Turn) {
        self.lock().feeds.values().for_each(|f| {
            let _ = f.send(turn);
        });
    }

    pub(super) async fn feed(self, director: u32, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let me = self.clone();
            tokio::spawn(async move {
                let (to, turns) = unbounded_channel();
                let number = {
                    let mut s = me.lock();
                    s.next += 1;
                    let number = s.next;
                    s.feeds.insert(number, to);
                    number
                };
                let _ = me.stream(director, stream, turns).await;
                me.lock().feeds.remove(&number);
            });
        }
    }

    async fn stream(
        &self, director: u32, stream: TcpStream, mut turns: UnboundedReceiver<Turn>,
    ) -> std::io::Result<()> {
        let mut stream = BufReader::new(stream);
        let (mut last, mut line) = (0, String::new());
        while stream.read_line(&mut line).await? > 2 {
            if let Some(id) = line.to_ascii_lowercase().strip_prefix("last-event-id:") {
                last = id.trim().parse().unwrap_or(0);
            }
            line.clear();
        }
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
        stream.get_mut().write_all(head.as_bytes()).await?;
        loop {
            let news = {
                let s = self.lock();
                let values: Vec<Value> =
                    s.events.iter().skip(last).map(|e| serde_json::from_str(e).unwrap_or_default()).collect();
                for_director(&values, &s.nodes, director)
            };
            for event in news {
                last += 1;
                // Now and then an event comes twice.
                let times = if last % 3 == 0 { 2 } else { 1 };
                for _ in 0..times {
                    stream.get_mut().write_all(format!("id: {last}\ndata: {event}\n\n").as_bytes()).await?;
                }
                let hosts: Vec<Value> = {
                    let s = self.lock();
                    let ids = event["fleet"]["hosts"].as_array().into_iter().flatten();
                    let ids = ids.filter_map(|h| h["host"].as_str()?.strip_prefix("s-")?.parse::<u32>().ok());
                    ids.filter_map(|id| Some(line_for_checker(id, s.nodes.get(&id)?))).collect()
                };
                let text = json!({"change": {"nodes": hosts}}).to_string();
                self.recorder.record(Event::Roster { director, text });
            }
            match timeout(Duration::from_secs(1), turns.recv()).await {
                Err(_) => stream.get_mut().write_all(b": still here\n\n").await?,
                Ok(Some(Turn::News)) => {}
                Ok(Some(Turn::Break)) => {
                    return stream
                        .get_mut()
                        .write_all(format!("id: {}\ndata: {{\"seq\":", last + 1).as_bytes())
                        .await;
                }
                Ok(Some(Turn::Mute)) => {
                    // Until the director hangs up.
                    stream.read_line(&mut line).await?;
                    return Ok(());
                }
                Ok(None) => return Ok(()),
            }
        }
    }
}
