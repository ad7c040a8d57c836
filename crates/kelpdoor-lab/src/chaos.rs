//! Random schedules of faults by seed, played against real processes, and shortened when a property breaks.

use std::path::Path;

use anyhow::Result;
use fastrand::Rng;

use crate::agreement_check::{AgreementVerdict, check_agreement};
use crate::check::{Verdict, check};
use crate::day;
use crate::record;
use crate::trouble::Script;

/// How large a schedule is.
#[derive(Clone, Copy, Debug)]
pub struct ScheduleSize {
    pub directors: u32,
    pub voters: u32,
    pub seconds: f64,
    /// Times that a schedule is played anew to find a shorter one that breaks too.
    pub max_reruns: usize,
}

/// s without trouble at the end, and at the begin.
const CALM: f64 = 12.0;
const BEGIN: f64 = 3.0;

/// Viewers a second for each director: enough that a director which acts on what it should not is seen to.
const RATE: f64 = 4.0;

/// Voters of a schedule that join it.
const SPARE: u32 = 2;

/// Another list of voters: one in another's place, or three made five.
fn lists(rng: &mut Rng, listed: &mut Vec<u32>, voters: u32) -> String {
    let off: Vec<u32> = (0..voters + SPARE).filter(|v| !listed.contains(v)).collect();
    if listed.len() == 3 && off.len() >= 2 && rng.bool() {
        listed.extend(&off[..2]);
    } else if listed.len() == 5 && off.is_empty() {
        listed.remove(rng.usize(..5));
        listed.remove(rng.usize(..4));
    } else if let Some(new) = off.first() {
        let k = rng.usize(..listed.len());
        listed[k] = *new;
    }
    listed.sort_unstable();
    listed.iter().map(u32::to_string).collect::<Vec<_>>().join(", ")
}

/// What a play came to.
pub struct RunResult {
    pub rules: Verdict,
    pub agreement: AgreementVerdict,
    pub ended_well: bool,
}

impl RunResult {
    pub fn passed(&self) -> bool {
        self.rules.broken.is_empty() && self.agreement.violations.is_empty() && self.ended_well
    }

    /// What broke, a line each.
    pub fn violations(&self) -> Vec<String> {
        let rules =
            self.rules.broken.iter().map(|b| format!("rule {} broken, line {}: {}", b.rule, b.line, b.what));
        let agreed =
            self.agreement.violations.iter().map(|(n, what)| format!("agreement broken, line {n}: {what}"));
        let end = (!self.ended_well).then(|| "a director did not end well".to_owned());
        rules.chain(agreed).chain(end).collect()
    }
}

/// The lines of a schedule, the day first, each a call of a trouble script.
pub fn schedule(seed: u64, size: ScheduleSize) -> Vec<String> {
    let mut rng = Rng::with_seed(seed);
    let ScheduleSize { directors, voters, seconds, .. } = size;
    let players = (seconds * f64::from(directors) * RATE) as u32;
    let mut lines = vec![format!(
        "day(seconds = {seconds}, directors = {directors}, voters = {voters}, spare_voters = {SPARE}, nodes = 10, racks = 2, zones = [\"east\", \"west\"], \
         players = {players}, class_of = 10, class_at = 6, watch = 5, roster_lag = 0.5, seed = {seed}, clocks_apart = True)"
    )];
    let last = seconds - CALM;
    let mut at = BEGIN;
    let mut change = 0;
    let mut disk_lost = false;
    let mut listed: Vec<u32> = (0..voters).collect();
    while at < last {
        let lasts = (0.3 + 4.0 * rng.f64()).min(last - at).max(0.1);
        let v = rng.u32(..voters);
        let other = (v + 1 + rng.u32(..voters - 1)) % voters;
        let d = rng.u32(..directors);
        let some: Vec<String> = (0..directors).filter(|_| rng.bool()).map(|d| d.to_string()).collect();
        let some = if some.is_empty() { d.to_string() } else { some.join(", ") };
        let way = ["both", "there", "back"][rng.usize(..3)];
        let list = lists(&mut rng, &mut listed, voters);
        let all: Vec<String> = (0..voters + SPARE).map(|v| v.to_string()).collect();
        let all = all.join(", ");
        let span = format!("at = {at:.2}, lasts = {lasts:.2}");
        lines.push(match rng.u8(..19) {
            // A director from all, some from one, a voter from the others.
            0 => format!("cut({span}, directors = [{d}], voters = [{all}], way = \"{way}\")"),
            1 => format!("cut({span}, directors = [{some}], voters = [{v}, {other}], way = \"{way}\")"),
            2 => format!("cut({span}, voters = [{v}], way = \"{way}\")"),
            // About as late as a lease is long, or far later.
            3 => format!(
                "late({span}, directors = [{some}], voters = [{all}], way = \"{way}\", factor = {:.2})",
                if rng.bool() { 0.6 + 0.4 * rng.f64() } else { 3.0 * rng.f64().powi(2) }
            ),
            4 => format!("late({span}, voters = [{v}], factor = {:.2})", 2.0 * rng.f64().powi(2)),
            5 => format!(
                "trickle({span}, directors = [{some}], voters = [{v}], factor = {})",
                200 + rng.u32(..2000)
            ),
            6 => format!("line_reset(at = {at:.2}, directors = [{some}], voters = [{all}])"),
            7 => format!("voter_roll(at = {at:.2}, voters = [{v}], notice = {:.2})", lasts.min(2.0)),
            8 => format!("voter_stall({span}, voters = [{v}])"),
            9 if !disk_lost => {
                disk_lost = true;
                format!("voter_disk(at = {at:.2}, voters = [{v}], notice = {:.2})", lasts.min(1.0))
            }
            10 => format!("voter_full({span}, voters = [{v}])"),
            11 => format!("balancer_roll(at = {at:.2}, directors = [{d}], notice = {:.2})", lasts.min(1.0)),
            12 | 13 => format!("balancer_stall({span}, directors = [{d}])"),
            16 | 17 => {
                change += 1;
                let at_most = lasts.min(1.0);
                format!(
                    "voter_list(at = {at:.2}, voters = [{list}], change = {change}, directors = [{d}], notice = {at_most:.2})"
                )
            }
            18 => format!(
                "wall_step({span}, directors = [{some}], factor = {:.1}, way = \"{way}\")",
                3600.0 * rng.f64().powi(3)
            ),
            _ => {
                change += 1;
                format!("propose(at = {at:.2}, change = {change}, directors = [{d}])")
            }
        });
        // Rules change all the while.
        if rng.f64() < 0.4 {
            change += 1;
            let d = rng.u32(..directors);
            lines.push(format!(
                "propose(at = {:.2}, change = {change}, directors = [{d}])",
                at + 0.5 * rng.f64()
            ));
        }
        at += 0.2 + 1.8 * rng.f64();
    }
    if disk_lost {
        // With a last change it votes again; else directors have to come back without any.
        change += 1;
        lines.push(format!("propose(at = {:.2}, change = {change}, directors = [0])", last + 0.5));
    }
    lines
}

pub fn parse_schedule(lines: &[String]) -> Result<Script> {
    Script::run("schedule", &lines.join("\n")).map_err(|f| anyhow::anyhow!("{}", f[0]))
}

/// Plays a schedule once and judges it.
///
/// # Errors
/// Where it cannot be played.
pub async fn run(script: &Script, program: &Path, dir: &Path) -> Result<RunResult> {
    std::fs::create_dir_all(dir)?;
    let over = day::run(script, "", program, dir, false, |_| {}).await?;
    let lines = record::read(&over.record)?;
    let agreement = check_agreement(&lines, script.size.contradiction);
    Ok(RunResult { rules: check(&lines), agreement, ended_well: over.ended_well })
}

/// Takes lines out of a schedule that broke for as long as it still breaks, halves first, within so many plays.
///
/// # Errors
/// Where it cannot be played.
pub async fn shorten(
    mut lines: Vec<String>, program: &Path, dir: &Path, plays: usize,
) -> Result<Vec<String>> {
    let mut left = plays;
    let mut part = (lines.len() - 1).div_ceil(2);
    while part > 0 {
        let mut from = 1;
        while from < lines.len() && left > 0 {
            let mut fewer = lines.clone();
            fewer.drain(from..(from + part).min(lines.len()));
            left -= 1;
            let result = run(&parse_schedule(&fewer)?, program, &dir.join(format!("shorter-{left}"))).await?;
            if result.passed() {
                from += part;
            } else {
                lines = fewer;
            }
        }
        part /= 2;
    }
    Ok(lines)
}
