//! Random fault schedules, generated from a seed and run against real processes. A failing schedule is reduced to a shorter
//! one.

use std::path::Path;

use anyhow::Result;
use fastrand::Rng;

use crate::agreement_check::{AgreementVerdict, check_agreement};
use crate::check::{Verdict, check};
use crate::day;
use crate::record;
use crate::trouble::TroubleScript;

/// Size of a schedule.
#[derive(Clone, Copy, Debug)]
pub struct ScheduleSize {
    pub directors: u32,
    pub voters: u32,
    /// Length of the run.
    pub seconds: f64,
    /// Maximum number of runs to find a shorter schedule that fails too.
    pub max_reruns: usize,
}

/// Seconds without faults at the end of a run.
const CALM_SECONDS: f64 = 12.0;
/// Seconds without faults at the start of a run.
const START_SECONDS: f64 = 3.0;

/// Viewers per second and director: enough to observe a director that acts on a version it must not use.
const VIEWER_RATE: f64 = 4.0;

/// Number of voters that are not founders and can join later.
const SPARE_VOTERS: u32 = 2;

/// Draws the next voter list: replaces one voter, grows from three to five or shrinks from five to three.
fn next_voter_list(rng: &mut Rng, listed: &mut Vec<u32>, voters: u32) -> String {
    let unlisted: Vec<u32> = (0..voters + SPARE_VOTERS).filter(|v| !listed.contains(v)).collect();
    if listed.len() == 3 && unlisted.len() >= 2 && rng.bool() {
        listed.extend(&unlisted[..2]);
    } else if listed.len() == 5 && unlisted.is_empty() {
        listed.remove(rng.usize(..5));
        listed.remove(rng.usize(..4));
    } else if let Some(new) = unlisted.first() {
        let k = rng.usize(..listed.len());
        listed[k] = *new;
    }
    listed.sort_unstable();
    listed.iter().map(u32::to_string).collect::<Vec<_>>().join(", ")
}

/// Outcome of one run of a schedule.
pub struct RunResult {
    pub rules: Verdict,
    pub agreement: AgreementVerdict,
    pub ended_well: bool,
}

impl RunResult {
    /// Whether no property was violated and all directors exited cleanly.
    pub fn passed(&self) -> bool {
        self.rules.violations.is_empty() && self.agreement.violations.is_empty() && self.ended_well
    }

    /// Describes each violation in one line.
    pub fn violations(&self) -> Vec<String> {
        let rules = self
            .rules
            .violations
            .iter()
            .map(|b| format!("rule {} broken, line {}: {}", b.rule, b.line, b.what));
        let agreed =
            self.agreement.violations.iter().map(|(n, what)| format!("agreement broken, line {n}: {what}"));
        let end = (!self.ended_well).then(|| "a director did not end well".to_owned());
        rules.chain(agreed).chain(end).collect()
    }
}

/// Generates the lines of a schedule. Each is a call in a trouble script; the first one sets up the day.
pub fn schedule(seed: u64, size: ScheduleSize) -> Vec<String> {
    let mut rng = Rng::with_seed(seed);
    let ScheduleSize { directors, voters, seconds, .. } = size;
    let players = (seconds * f64::from(directors) * VIEWER_RATE) as u32;
    let mut lines = vec![format!(
        "day(seconds = {seconds}, directors = {directors}, voters = {voters}, spare_voters = {SPARE_VOTERS}, nodes = 10, racks = 2, zones = [\"east\", \"west\"], \
         players = {players}, class_of = 10, class_at = 6, watch = 5, roster_lag = 0.5, seed = {seed}, clocks_apart = True)"
    )];
    let last = seconds - CALM_SECONDS;
    let mut at = START_SECONDS;
    let mut change = 0;
    let mut disk_lost = false;
    let mut listed: Vec<u32> = (0..voters).collect();
    while at < last {
        let lasts = (0.3 + 4.0 * rng.f64()).min(last - at).max(0.1);
        let voter = rng.u32(..voters);
        let other = (voter + 1 + rng.u32(..voters - 1)) % voters;
        let director = rng.u32(..directors);
        let some_directors: Vec<String> =
            (0..directors).filter(|_| rng.bool()).map(|d| d.to_string()).collect();
        let some_directors =
            if some_directors.is_empty() { director.to_string() } else { some_directors.join(", ") };
        let way = ["both", "there", "back"][rng.usize(..3)];
        let list = next_voter_list(&mut rng, &mut listed, voters);
        let all_voters: Vec<String> = (0..voters + SPARE_VOTERS).map(|v| v.to_string()).collect();
        let all_voters = all_voters.join(", ");
        let interval = format!("at = {at:.2}, lasts = {lasts:.2}");
        lines.push(match rng.u8(..19) {
            // Cuts one director from all voters, some directors from two voters, or one voter from the others.
            0 => format!("cut({interval}, directors = [{director}], voters = [{all_voters}], way = \"{way}\")"),
            1 => format!("cut({interval}, directors = [{some_directors}], voters = [{voter}, {other}], way = \"{way}\")"),
            2 => format!("cut({interval}, voters = [{voter}], way = \"{way}\")"),
            // Delays near the length of a lease, or any up to far beyond it.
            3 => format!(
                "late({interval}, directors = [{some_directors}], voters = [{all_voters}], way = \"{way}\", factor = {:.2})",
                if rng.bool() { 0.6 + 0.4 * rng.f64() } else { 3.0 * rng.f64().powi(2) }
            ),
            4 => format!("late({interval}, voters = [{voter}], factor = {:.2})", 2.0 * rng.f64().powi(2)),
            5 => format!(
                "trickle({interval}, directors = [{some_directors}], voters = [{voter}], factor = {})",
                200 + rng.u32(..2000)
            ),
            6 => format!("line_reset(at = {at:.2}, directors = [{some_directors}], voters = [{all_voters}])"),
            7 => format!("voter_roll(at = {at:.2}, voters = [{voter}], notice = {:.2})", lasts.min(2.0)),
            8 => format!("voter_stall({interval}, voters = [{voter}])"),
            9 if !disk_lost => {
                disk_lost = true;
                format!("voter_disk(at = {at:.2}, voters = [{voter}], notice = {:.2})", lasts.min(1.0))
            }
            10 => format!("voter_full({interval}, voters = [{voter}])"),
            11 => format!("balancer_roll(at = {at:.2}, directors = [{director}], notice = {:.2})", lasts.min(1.0)),
            12 | 13 => format!("balancer_stall({interval}, directors = [{director}])"),
            16 | 17 => {
                change += 1;
                let notice = lasts.min(1.0);
                format!(
                    "voter_list(at = {at:.2}, voters = [{list}], change = {change}, directors = [{director}], notice = {notice:.2})"
                )
            }
            18 => format!(
                "wall_step({interval}, directors = [{some_directors}], factor = {:.1}, way = \"{way}\")",
                3600.0 * rng.f64().powi(3)
            ),
            _ => {
                change += 1;
                format!("propose(at = {at:.2}, change = {change}, directors = [{director}])")
            }
        });
        // Rules keep changing during other faults.
        if rng.f64() < 0.4 {
            change += 1;
            let director = rng.u32(..directors);
            lines.push(format!(
                "propose(at = {:.2}, change = {change}, directors = [{director}])",
                at + 0.5 * rng.f64()
            ));
        }
        at += 0.2 + 1.8 * rng.f64();
    }
    if disk_lost {
        // A voter that lost its disk votes again only after another change. Without a lost disk, directors have to recover
        // with no change.
        change += 1;
        lines.push(format!("propose(at = {:.2}, change = {change}, directors = [0])", last + 0.5));
    }
    lines
}

/// Parses the lines of a schedule.
///
/// # Errors
/// If they are not a valid trouble script.
pub fn parse_schedule(lines: &[String]) -> Result<TroubleScript> {
    TroubleScript::parse("schedule", &lines.join("\n")).map_err(|f| anyhow::anyhow!("{}", f[0]))
}

/// Runs a schedule once with `program` as the daemon and checks its record. Logs and the record go to `dir`.
///
/// # Errors
/// If the run cannot be carried out or its record cannot be read.
pub async fn run(script: &TroubleScript, program: &Path, dir: &Path) -> Result<RunResult> {
    std::fs::create_dir_all(dir)?;
    let outcome = day::run(script, "", program, dir, false, |_| {}).await?;
    let lines = record::read(&outcome.record)?;
    let agreement = check_agreement(&lines, script.size.contradiction);
    Ok(RunResult { rules: check(&lines), agreement, ended_well: outcome.exited_cleanly })
}

/// Removes lines from a failing schedule as long as it still fails: half of them at a time first, then fewer and fewer. Stops
/// after `max_runs` runs.
///
/// # Errors
/// If a run cannot be carried out.
pub async fn shorten(
    mut lines: Vec<String>, program: &Path, dir: &Path, max_runs: usize,
) -> Result<Vec<String>> {
    let mut runs_left = max_runs;
    let mut chunk = (lines.len() - 1).div_ceil(2);
    while chunk > 0 {
        let mut from = 1;
        while from < lines.len() && runs_left > 0 {
            let mut fewer = lines.clone();
            fewer.drain(from..(from + chunk).min(lines.len()));
            runs_left -= 1;
            let result =
                run(&parse_schedule(&fewer)?, program, &dir.join(format!("shorter-{runs_left}"))).await?;
            if result.passed() {
                from += chunk;
            } else {
                lines = fewer;
            }
        }
        chunk /= 2;
    }
    Ok(lines)
}
