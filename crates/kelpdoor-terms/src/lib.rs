//! Converts the users' settings, a JSON object, to the director's terms. The bench adapter and the front on the users'
//! platform share this conversion.
//!
//! Unknown keys are skipped. Each absent key has a defined meaning. A key with the wrong type or a value out of range is
//! an error that names the key.

mod cursor;
mod report;

use anyhow::{Context, Result, ensure};
use kelpdoor::Terms;
use kelpdoor::terms::{FurtherBudget, GroupTerms, Reach, Repeat};
use serde_json::Value;

use crate::cursor::JsonCursor;

pub use report::ReportFields;

/// Names in the settings, each list in the order of the indices by which the terms refer to them, and limits on connections
/// that the terms do not hold. Times are in seconds.
#[derive(Clone, Debug, Default)]
pub struct SettingsNames {
    pub groups: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// Time after which an attempt to connect to a node has failed.
    pub connect_timeout: f64,
    /// Time after which nodes close an idle connection; 0 means never.
    pub idle_timeout: f64,
}

/// Reads the names and the limits on connections.
///
/// # Errors
/// Like [`read_terms`].
pub fn read_names(root: &Value) -> Result<SettingsNames> {
    let root = JsonCursor::root(root)?;
    let names = |key: &str| root.member(key)?.strings();
    let allowed = root.member("allowed")?;
    let groups = root.member("profiles")?.list()?;
    Ok(SettingsNames {
        groups: groups.iter().map(|p| p.member("name")?.string()).collect::<Result<_>>()?,
        zones: names("zones")?,
        kinds: names("kinds")?,
        connect_timeout: allowed.member("connectTimeoutMs")?.seconds()?,
        idle_timeout: allowed.member("connIdleMs")?.seconds()?,
    })
}

/// Maximum number of classes (service groups) and of rungs. The index of either is one byte; 255 means no rung.
const MAX_CLASSES_OR_RUNGS: usize = 255;

/// Parses JSON text and reads the terms and the fields of load reports from it.
///
/// # Errors
/// If the text is not JSON, or like [`read_terms`].
pub fn parse_terms(text: &[u8]) -> Result<(Terms, ReportFields)> {
    read_terms(&serde_json::from_slice(text).context("not readable as JSON")?)
}

/// Reads the terms and the fields of load reports from parsed JSON.
///
/// # Errors
/// If it is not an object, or a key has the wrong type or a value out of range. The error names the key.
pub fn read_terms(root: &Value) -> Result<(Terms, ReportFields)> {
    let root = JsonCursor::root(root)?;
    let (specifics, rules, allowed) =
        (root.member("specifics")?, root.member("rules")?, root.member("allowed")?);
    let ladder = specifics.member("ratesKb")?.numbers(0.0..=f64::MAX)?;
    ensure!(
        !ladder.is_empty() && ladder.iter().all(|&kb| kb > 0.0),
        "specifics.ratesKb: no ladder of rates above 0"
    );
    ensure!(
        ladder.len() <= MAX_CLASSES_OR_RUNGS,
        "specifics.ratesKb: more than {MAX_CLASSES_OR_RUNGS} rungs"
    );
    ensure!(ladder.is_sorted(), "specifics.ratesKb: rates must not decrease");
    let rung_utility = specifics.member("levelWorth")?.numbers(0.0..=f64::MAX)?;
    ensure!(rung_utility.len() == ladder.len(), "specifics.levelWorth and ratesKb differ in length");
    let top = (ladder.len() - 1) as u64;
    let [floors, tops, seats] =
        [("lowestRung", top), ("highestRung", u8::MAX.into()), ("licenceCap", u32::MAX.into())]
            .map(|(key, limit)| specifics.member(key).and_then(|list| list.integers(limit)));
    let (floors, tops, seats) = (floors?, tops?, seats?);
    let scales = specifics.member("scaleByClass")?.numbers(0.0..=f64::MAX)?;
    let join = specifics.member("join")?.number(0.0..=1.0)?.unwrap_or(1.0);
    let live =
        specifics.member("live")?.list()?.iter().map(JsonCursor::boolean).collect::<Result<Vec<_>>>()?;
    let refuses_from = specifics.member("refusesFrom")?.number(0.0..=f64::MAX)?.filter(|&full| full > 0.0);
    let profiles = root.member("profiles")?.list()?;
    ensure!(profiles.len() <= MAX_CLASSES_OR_RUNGS, "profiles: more than {MAX_CLASSES_OR_RUNGS} classes");
    let group = |(i, p): (usize, &JsonCursor)| -> Result<GroupTerms> {
        Ok(GroupTerms {
            start_target: p.member("promiseMs")?.seconds()?,
            utility: p.member("credit")?.number(0.0..=f64::MAX)?.unwrap_or(1.0),
            repeat: match (p.member("repeat")?.string()?.as_str(), p.member("keyScope")?.string()?.as_str()) {
                ("safe", _) => Repeat::Freely,
                ("keyed", "all") => Repeat::Within(Reach::Anywhere),
                ("keyed", "zone") => Repeat::Within(Reach::Zone),
                ("keyed", "cell") => Repeat::Within(Reach::Cell),
                // A value that is not known to be safe is treated as unsafe.
                _ => Repeat::Never,
            },
            repeat_window: p.member("repeatWindowMs")?.seconds()?,
            floor: floors.get(i).map_or(0, |&r| r as u8),
            // An entry past the end of the ladder sets no limit.
            top: tops.get(i).map_or(u8::MAX, |&r| r.min(top) as u8),
            scale: scales.get(i).copied().filter(|&s| s > 0.0).unwrap_or(1.0),
            seats: seats.get(i).map_or(0, |&n| n as u32),
            join: if live.get(i) == Some(&true) { join } else { 1.0 },
        })
    };
    let groups = profiles.iter().enumerate().map(group).collect::<Result<Vec<_>>>()?;
    let (zones, report) =
        (root.member("zones")?.strings()?.len(), root.member("feedback")?.member("fields")?.strings()?);
    let zone = root.member("zone")?.integer(zones.clamp(1, 1 << 16) as u64 - 1)?.unwrap_or(0) as u16;
    let cross_zone = root.member("prices")?.member("crossZone")?.number(0.0..=f64::MAX)?.unwrap_or(0.0);
    let longest_wait = allowed.member("maxRetryAfterMs")?.seconds()?;
    let directors = root.member("siblings")?.integer(u32::MAX.into())?.unwrap_or(1);
    let me = root.member("me")?.integer(directors.max(1) - 1)?.unwrap_or(0) as u32;
    let discovery = root.member("discovery")?;
    ensure!(
        ["", "push", "ask"].contains(&discovery.string()?.as_str()),
        "discovery: must be \"push\" or \"ask\""
    );
    let fraction = |value: JsonCursor| value.number(0.0..=1.0);
    let amount = |value: JsonCursor| Ok::<_, anyhow::Error>(value.number(0.0..=f64::MAX)?.unwrap_or(0.0));
    let terms = Terms {
        me,
        directors: directors as u32,
        zone,
        groups,
        ladder,
        rung_utility,
        places_by_kind: specifics.member("placesByKind")?.numbers(0.0..=f64::MAX)?,
        cells: specifics.member("cells")?.integer(u16::MAX.into())?.unwrap_or(1) as u16,
        racks: specifics.member("racks")?.integer(u16::MAX.into())?.unwrap_or(1) as u16,
        link_unit: amount(specifics.member("linkUnitKb")?)?,
        rack_uplink: amount(specifics.member("rackKb")?)?,
        refuses_from,
        seen_after: specifics.member("seenAfterMs")?.seconds()?,
        told_every: specifics.member("toldEveryMs")?.seconds()?,
        switch_cost: amount(specifics.member("switchCostS")?)?,
        cross_zone_price: if zones > 1 { cross_zone } else { 0.0 },
        max_setups: allowed.member("sendCap")?.integer(u32::MAX.into())?.unwrap_or(1) as u32,
        may_withdraw: allowed.member("mayCancel")?.boolean()?,
        come_back: allowed.member("retryAfter")?.boolean()?.then_some(longest_wait),
        cold_from: fraction(rules.member("coldFrom")?)?.unwrap_or(0.0),
        warm_within: rules.member("warmWithinMs")?.seconds()?,
        tip_multiple: amount(rules.member("tipMultiple")?)?,
        fall_window: rules.member("fallMs")?.seconds()?,
        further: Some(rules.member("ratioSpanMs")?.seconds()?)
            .filter(|&span| span > 0.0)
            .map(|span| {
                let (free, per_taken) =
                    (amount(rules.member("extraFree")?)?, amount(rules.member("repeatRatio")?)?);
                Ok::<_, anyhow::Error>(FurtherBudget { free, per_taken, span })
            })
            .transpose()?,
        ask_list: discovery.string()? == "ask",
        uplinks_told: report.iter().any(|f| f == "x1"),
    };
    Ok((terms, ReportFields(report)))
}

#[cfg(test)]
mod tests;
