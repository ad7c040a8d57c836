//! The change log: numbered events about the list of media nodes, sent as server-sent events (HTML Living
//! Standard, section 9.2) with a JSON object each.

use std::net::SocketAddr;

use kelpdoor::round::Phase;
use serde::Deserialize;
use serde_json::Value;

/// Maximum media nodes in one event: more than any fleet has, so that a broken event cannot exhaust the
/// memory.
const MAX_HOSTS: usize = 20_000;

/// The state of one media node.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub cell: u16,
    pub phase: Phase,
    pub size: f64,
    /// Time of a recent start in s since 1970; 0: long ago.
    pub up_since: f64,
}

/// One event of the change log.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetChange {
    pub number: u64,
    /// Whether `hosts` is the complete list and nodes that it lacks are gone.
    pub is_snapshot: bool,
    pub hosts: Vec<Host>,
}

#[derive(Deserialize)]
struct RawEvent {
    seq: u64,
    fleet: Option<RawFleet>,
}

#[derive(Deserialize)]
struct RawFleet {
    #[serde(default)]
    whole: bool,
    #[serde(default)]
    hosts: Vec<RawHost>,
}

#[derive(Deserialize)]
struct RawHost {
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

fn parse_host(raw: RawHost) -> Result<Host, String> {
    let phase = match raw.health.as_str() {
        "up" => Phase::Ready,
        "draining" => Phase::Draining,
        "removed" => Phase::Gone,
        other => return Err(format!("{}: unknown health {other:?}", raw.host)),
    };
    let address = match raw.dial.parse() {
        Ok(address) => address,
        // A removed node needs no address.
        Err(_) if phase == Phase::Gone => SocketAddr::from(([0, 0, 0, 0], 0)),
        Err(_) => return Err(format!("{}: {:?} is not an address with a port", raw.host, raw.dial)),
    };
    Ok(Host {
        id: raw.host,
        address,
        zone: raw.site,
        kind: raw.class,
        cell: raw.block,
        phase,
        size: if raw.share.is_finite() { raw.share } else { 0.0 },
        up_since: raw.born_ms.max(0.0) / 1000.0,
    })
}

fn parse_change(event: RawEvent) -> Result<FleetChange, String> {
    let number = event.seq;
    let Some(fleet) = event.fleet else {
        return Ok(FleetChange { number, is_snapshot: false, hosts: Vec::new() });
    };
    if fleet.hosts.len() > MAX_HOSTS {
        return Err(format!("event {number} lists {} hosts, at most {MAX_HOSTS} allowed", fleet.hosts.len()));
    }
    let hosts: Result<Vec<Host>, String> = fleet.hosts.into_iter().map(parse_host).collect();
    Ok(FleetChange {
        number,
        is_snapshot: fleet.whole,
        hosts: hosts.map_err(|e| format!("event {number}: {e}"))?,
    })
}

/// Parses the data of one event.
///
/// # Errors
/// What is wrong with it; no part of the event applies.
pub fn parse_event(data: &str) -> Result<FleetChange, String> {
    parse_change(serde_json::from_str(data).map_err(|e| e.to_string())?)
}

/// Parses the events in the configuration, and the number of the last one.
///
/// # Errors
/// What is wrong, with the number of the event where it has one.
pub fn parse_known_events(known: &Value) -> Result<(Vec<FleetChange>, u64), String> {
    let last = known["seq"].as_u64().ok_or("seq is not a number")?;
    let events = known["results"].as_array().ok_or("results is not a list")?;
    let changes: Result<Vec<FleetChange>, String> =
        events.iter().map(|e| parse_change(RawEvent::deserialize(e).map_err(|e| e.to_string())?)).collect();
    Ok((changes?, last))
}

#[cfg(test)]
mod tests;
