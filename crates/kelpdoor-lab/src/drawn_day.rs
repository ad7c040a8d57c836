//! Converts a day drawn by the bench into a trouble script at a size that fits one machine. The script takes over the
//! troubles with their times and targets, scaled to fewer nodes, directors and racks, but not the day's rates, sizes and
//! names.

use std::fmt::Write as _;

use anyhow::{Context, Result, ensure};
use serde_json::Value;

/// Largest size of a script; larger days are scaled down.
const MAX_NODES: u64 = 24;
const MAX_DIRECTORS: u64 = 4;
const MAX_RACKS: u64 = 6;
/// Largest length of a script in seconds; longer days are cut off.
const MAX_LENGTH: f64 = 90.0;

/// Sizes of the day and of the script.
struct Scaling {
    /// Nodes of the day and of the script.
    nodes: (u64, u64),
    /// Directors of the day and of the script.
    directors: (u64, u64),
    racks: u64,
    zones: u64,
    length: f64,
}

/// Maps an id of the day to one of the script.
fn scale_id(id: u64, (from, to): (u64, u64)) -> u64 {
    if from <= to { id.min(to - 1) } else { id * to / from }
}

impl Scaling {
    /// Maps a JSON list of ids; several may become one.
    fn scale_ids(&self, ids: &Value, scale: (u64, u64)) -> Vec<u64> {
        let mut all: Vec<u64> = ids
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(Value::as_u64)
            .map(|id| scale_id(id, scale))
            .collect();
        all.sort_unstable();
        all.dedup();
        all
    }
}

/// Converts a drawn day, given as JSON, to the text of a script.
///
/// # Errors
/// If the text is not a drawn day.
pub fn to_script(text: &str) -> Result<String> {
    let day: Value = serde_json::from_str(text).context("not JSON")?;
    ensure!(
        day["troubles"].is_array() && day["servers"].is_array(),
        "not a drawn day: no troubles or servers"
    );
    let count = |key: &str| day[key].as_array().map_or(0, Vec::len) as u64;
    // Servers that start later in the day replace others.
    let first: Vec<u64> = (0..count("servers"))
        .filter(|&k| day["servers"][k as usize]["up"].as_bool().unwrap_or(true))
        .collect();
    let n = (first.len() as u64).max(1);
    let s = Scaling {
        nodes: (n, n.min(MAX_NODES)),
        directors: (count("balancers").max(1), count("balancers").clamp(1, MAX_DIRECTORS)),
        racks: day["fam"]["racks"].as_u64().unwrap_or(2).clamp(1, MAX_RACKS.min(n)),
        zones: count("zones").max(1),
        length: (day["length"].as_f64().unwrap_or(6e7) / 1e6).min(MAX_LENGTH),
    };
    let zones: Vec<String> = (0..s.zones).map(|z| format!("\"room-{z}\"")).collect();
    let seed = day["noise"].as_u64().unwrap_or(1) % 1_000_000;
    let load = day["traffic"]["load"].as_f64().unwrap_or(0.7);
    // 4.5 players a second fill the default day's 16 nodes without shortage.
    let players = (4.5 * s.nodes.1 as f64 / 16.0 * s.length * load / 0.7).round().min(5000.0);
    let lag = day["discovery"]["notice"].as_f64().unwrap_or(1e6) / 1e6;
    let mut out = String::new();
    writeln!(
        out,
        "# From a drawn day: {} nodes of {n}, {} directors of {}.",
        s.nodes.1, s.directors.1, s.directors.0
    )?;
    writeln!(
        out,
        "day(seconds = {:.0}, directors = {}, nodes = {}, racks = {}, zones = [{}], players = {players}, class_of = 0, \
         roster_lag = {:.2}, seed = {seed})",
        s.length,
        s.directors.1,
        s.nodes.1,
        s.racks.min(s.nodes.1),
        zones.join(", "),
        lag.min(10.0)
    )?;
    for t in day["troubles"].as_array().into_iter().flatten() {
        write_trouble(&mut out, t, &s)?;
    }
    // Check that the script is valid.
    crate::trouble::TroubleScript::parse("from-day", &out).map_err(|f| anyhow::anyhow!("{f:?}\n{out}"))?;
    Ok(out)
}

/// Appends the call for one trouble of the day, or a comment if its kind has no counterpart.
fn write_trouble(out: &mut String, t: &Value, s: &Scaling) -> Result<()> {
    let number = |key: &str| t[key].as_f64().unwrap_or(0.0);
    let (at, lasts) = (number("at") / 1e6, number("len") / 1e6);
    if at >= s.length {
        return Ok(());
    }
    let lasts = lasts.min(s.length - at);
    let kind = t["kind"].as_str().unwrap_or("");
    let nodes = s.scale_ids(&t["on"], s.nodes);
    let steps = t["steps"].as_array().cloned().unwrap_or_default();
    let stopped = |scale| {
        let all: Vec<u64> = steps.iter().flat_map(|x| s.scale_ids(&x["stop"], scale)).collect();
        all.into_iter().fold(Vec::new(), |mut seen, id| {
            if !seen.contains(&id) {
                seen.push(id);
            }
            seen
        })
    };
    let size = number("size");
    let factor = if size > 1.0 { 1.0 / size } else { 1.0 - size };
    let span = format!("at = {at:.2}, lasts = {lasts:.2}");
    match kind {
        "crash" | "vanish" | "ageing" if !nodes.is_empty() => {
            writeln!(out, "{kind}({span}, nodes = {nodes:?})")?
        }
        "slow" | "neighbour" if !nodes.is_empty() => {
            writeln!(out, "{kind}({span}, nodes = {nodes:?}, factor = {factor:.3})")?;
        }
        "origin_slow" => {
            // The uplinks of three racks in ten lose rate, of one rack at least.
            let racks: Vec<u64> = (0..(s.racks * 3).div_ceil(10).max(1)).collect();
            writeln!(out, "rack_sag({span}, racks = {racks:?}, factor = {factor:.3})")?;
        }
        "preempt" if !nodes.is_empty() || !steps.is_empty() => {
            let nodes = if nodes.is_empty() { stopped(s.nodes) } else { nodes };
            if !nodes.is_empty() {
                let notice = number("extra").clamp(0.5, 5.0);
                writeln!(out, "preempt({span}, nodes = {nodes:?}, notice = {notice:.2})")?;
            }
        }
        "deploy" => {
            let nodes = stopped(s.nodes);
            if !nodes.is_empty() {
                let notice = number("extra").clamp(0.5, 5.0).min(lasts / nodes.len() as f64);
                writeln!(out, "deploy({span}, nodes = {nodes:?}, notice = {notice:.2})")?;
            }
        }
        "balancer_roll" => {
            let directors = stopped(s.directors);
            if !directors.is_empty() {
                let notice = number("extra").clamp(0.3, 5.0);
                writeln!(out, "balancer_roll({span}, directors = {directors:?}, notice = {notice:.2})")?;
            }
        }
        "balancer_stall" => {
            let directors = s.scale_ids(&t["on"], s.directors);
            let directors = if directors.is_empty() { vec![0] } else { directors };
            let lasts = if size > 0.0 { size.min(10.0) } else { lasts.min(3.0) };
            writeln!(out, "balancer_stall(at = {at:.2}, lasts = {lasts:.2}, directors = {directors:?})")?;
        }
        "zone_loss" => {
            let zone = t["which"].as_u64().unwrap_or(0).min(s.zones - 1);
            writeln!(out, "zone_loss({span}, zone = \"room-{zone}\")")?;
        }
        "hot_key" => {
            let players = (size * 200.0).round().clamp(1.0, 1000.0);
            writeln!(out, "hot_key({span}, players = {players})")?;
        }
        "discovery_stale" => writeln!(out, "discovery_stale({span}, factor = {:.2})", size.min(20.0))?,
        "report_late" => writeln!(out, "report_late({span}, factor = {:.2})", (size * 0.6).min(10.0))?,
        other => writeln!(out, "# {other:?} at {at:.1} s has no counterpart here")?,
    }
    Ok(())
}
