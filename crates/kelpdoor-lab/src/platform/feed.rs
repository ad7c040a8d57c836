//! The change log: numbered events, sent as server-sent events on one address per director.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::timeout;

use super::{NodeState, Platform};
use crate::record::Event;

/// An action on an open stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StreamAction {
    /// Sends new events.
    Update,
    /// Ends the stream in the middle of an event.
    Break,
    /// Stops sending but keeps the stream open.
    Silence,
}

fn host_entry(id: u32, n: &NodeState, director: u32) -> Value {
    json!({"host": format!("s-{id}"), "dial": format!("127.0.0.1:{}", n.ports[director as usize]), "site": "one", "class": "box",
        "block": n.cell, "health": n.phase, "share": 3, "born_ms": n.born_ms})
}

/// Fills in the addresses at which `director` reaches the nodes; stored events identify nodes by id only.
pub fn for_director(events: &[Value], nodes: &BTreeMap<u32, NodeState>, director: u32) -> Vec<Value> {
    let with_addresses = |event: &Value| {
        let mut event = event.clone();
        for h in event["fleet"]["hosts"].as_array_mut().into_iter().flatten() {
            let id = h["host"].as_str().and_then(|h| h.strip_prefix("s-")?.parse().ok()).unwrap_or(u32::MAX);
            if let Some(n) = nodes.get(&id) {
                h["dial"] = format!("127.0.0.1:{}", n.ports[director as usize]).into();
            }
        }
        event
    };
    events.iter().map(with_addresses).collect()
}

/// A node's roster entry as the checker reads it.
pub fn checker_entry(id: u32, n: &NodeState) -> Value {
    let phase = match n.phase {
        "up" => "ready",
        "removed" => "gone",
        other => other,
    };
    json!({"id": id, "phase": phase, "up_since": n.born_ms as f64 / 1000.0})
}

/// Time after which a director counts as informed of a change, connected or not, in seconds.
const NOTIFICATION_TIME: f64 = 4.0;

impl Platform {
    /// Sets a node's state and appends the event to the change log.
    pub(super) fn announce_node(&self, id: u32, phase: &'static str) {
        let mut s = self.lock();
        let Some(n) = s.nodes.get_mut(&id) else { return };
        n.phase = phase;
        let entry = host_entry(id, n, 0);
        let number = s.events.len() + 1;
        s.events.push(
            json!({"seq": number, "fleet": {"seq": number, "whole": false, "hosts": [entry]}}).to_string(),
        );
        s.feeds.values().for_each(|f| {
            let _ = f.send(StreamAction::Update);
        });
        drop(s);
        let me = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_secs_f64(NOTIFICATION_TIME)).await;
            let s = me.lock();
            let Some(n) = s.nodes.get(&id) else { return };
            let text = json!({"change": {"nodes": [checker_entry(id, n)]}}).to_string();
            for (d, _) in s.directors.iter().enumerate().filter(|(_, of)| of.child.is_some()) {
                me.recorder.record(Event::Roster { director: d as u32, text: text.clone() });
            }
        });
    }

    /// Replaces the change log by one event with all nodes.
    pub(super) fn announce_all_nodes(&self) {
        let mut s = self.lock();
        let hosts: Vec<Value> = s.nodes.iter().map(|(&id, n)| host_entry(id, n, 0)).collect();
        s.events = vec![json!({"seq": 1, "fleet": {"seq": 1, "whole": true, "hosts": hosts}}).to_string()];
    }

    pub(super) fn send_to_feeds(&self, action: StreamAction) {
        self.lock().feeds.values().for_each(|f| {
            let _ = f.send(action);
        });
    }

    /// Accepts change log streams of one director.
    pub(super) async fn serve_feed(self, director: u32, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let me = self.clone();
            tokio::spawn(async move {
                let (to, actions) = unbounded_channel();
                let number = {
                    let mut s = me.lock();
                    s.last_number += 1;
                    let number = s.last_number;
                    s.feeds.insert(number, to);
                    number
                };
                let _ = me.send_events(director, stream, actions).await;
                me.lock().feeds.remove(&number);
            });
        }
    }

    async fn send_events(
        &self, director: u32, stream: TcpStream, mut actions: UnboundedReceiver<StreamAction>,
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
            let new_events = {
                let s = self.lock();
                let values: Vec<Value> =
                    s.events.iter().skip(last).map(|e| serde_json::from_str(e).unwrap_or_default()).collect();
                for_director(&values, &s.nodes, director)
            };
            for event in new_events {
                last += 1;
                // Every third event is sent twice.
                let times = if last % 3 == 0 { 2 } else { 1 };
                for _ in 0..times {
                    stream.get_mut().write_all(format!("id: {last}\ndata: {event}\n\n").as_bytes()).await?;
                }
                let hosts: Vec<Value> = {
                    let s = self.lock();
                    let ids = event["fleet"]["hosts"].as_array().into_iter().flatten();
                    let ids = ids.filter_map(|h| h["host"].as_str()?.strip_prefix("s-")?.parse::<u32>().ok());
                    ids.filter_map(|id| Some(checker_entry(id, s.nodes.get(&id)?))).collect()
                };
                let text = json!({"change": {"nodes": hosts}}).to_string();
                self.recorder.record(Event::Roster { director, text });
            }
            match timeout(Duration::from_secs(1), actions.recv()).await {
                Err(_) => stream.get_mut().write_all(b": still here\n\n").await?,
                Ok(Some(StreamAction::Update)) => {}
                Ok(Some(StreamAction::Break)) => {
                    return stream
                        .get_mut()
                        .write_all(format!("id: {}\ndata: {{\"seq\":", last + 1).as_bytes())
                        .await;
                }
                Ok(Some(StreamAction::Silence)) => {
                    // Waits until the director closes the connection.
                    stream.read_line(&mut line).await?;
                    return Ok(());
                }
                Ok(None) => return Ok(()),
            }
        }
    }
}
