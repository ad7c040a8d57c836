//! The change log: numbered events about the list of media nodes, told as server-sent events (HTML Living Standard,
//! section 9.2), each a JSON object.

use std::net::SocketAddr;

use kelpdoor::round::Phase;
use serde::Deserialize;
use serde_json::Value;

/// Media nodes in one event at most; more than any fleet, so that a broken event costs no memory.
const MOST_HOSTS: usize = 20_000;

/// A line about one media node.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub cell: u16,
    pub phase: Phase,
    pub size: f64,
    /// s since 1970 of a late start; 0: long ago.
    pub up_since: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct FleetChange {
    pub number: u64,
    /// The hosts are all there are.
    pub is_snapshot: bool,
    pub hosts: Vec<Host>,
}

#[derive(Deserialize)]
struct Event {
    seq: u64,
    fleet: Option<Fleet>,
}

#[derive(Deserialize)]
struct Fleet {
    #[serde(default)]
    whole: bool,
    #[serde(default)]
    hosts: Vec<Line>,
}

#[derive(Deserialize)]
struct Line {
    host: String,
    #[serde(default)]
    dial: String,
    #[serde(default)]
    site: String,
    #[serde(default)]
    class: String,
    #[serde(default)]
    block: u16,
    health: String,
    #[serde(default)]
    share: f64,
    #[serde(default)]
    born_ms: f64,
}

fn host(line: Line) -> Result<Host, String> {
    let phase = match line.health.as_str() {
        "up" => Phase::Ready,
        "draining" => Phase::Draining,
        "removed" => Phase::Gone,
        other => return Err(format!("{}: the state {other:?} is unknown", line.host)),
    };
    let address = match line.dial.parse() {
        Ok(address) => address,
        // A line that takes a node off needs no address.
        Err(_) if phase == Phase::Gone => SocketAddr::from(([0, 0, 0, 0], 0)),
        Err(_) => return Err(format!("{}: {:?} is no address and port", line.host, line.dial)),
    };
    Ok(Host {
        id: line.host,
        address,
        zone: line.site,
        kind: line.class,
        cell: line.block,
        phase,
        size: if line.share.is_finite() { line.share } else { 0.0 },
        up_since: line.born_ms.max(0.0) / 1000.0,
    })
}

fn change(event: Event) -> Result<FleetChange, String> {
    let number = event.seq;
    let Some(fleet) = event.fleet else {
        return Ok(FleetChange { number, is_snapshot: false, hosts: Vec::new() });
    };
    if fleet.hosts.len() > MOST_HOSTS {
        return Err(format!("event {number} lists {} hosts", fleet.hosts.len()));
    }
    let hosts: Result<Vec<Host>, String> = fleet.hosts.into_iter().map(host).collect();
    Ok(FleetChange {
        number,
        is_snapshot: fleet.whole,
        hosts: hosts.map_err(|e| format!("event {number}: {e}"))?,
    })
}

/// Reads one event's data.
///
/// # Errors
/// What is wrong with it; the event counts as not told.
pub fn parse_event(data: &str) -> Result<FleetChange, String> {
    change(serde_json::from_str(data).map_err(|e| e.to_string())?)
}

/// Reads the events that the configuration holds, and the number of the last.
///
/// # Errors
/// What is wrong, with the event's number where it has one.
pub fn parse_known_events(known: &Value) -> Result<(Vec<FleetChange>, u64), String> {
    let last = known["seq"].as_u64().ok_or("no number under seq")?;
    let events = known["results"].as_array().ok_or("no list under results")?;
    let changes: Result<Vec<FleetChange>, String> =
        events.iter().map(|e| change(Event::deserialize(e).map_err(|e| e.to_string())?)).collect();
    Ok((changes?, last))
}

#[cfg(test)]
mod tests;
