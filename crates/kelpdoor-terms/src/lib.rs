//! From the users' settings, an object of JSON, to the director's terms: for the bench's adapter and the platform's route
//! alike. Unknown keys are skipped; an absent one takes the meaning of its absence; one of the wrong type or outside its
//! meaning is an error that names it.

mod cursor;
mod report;

use anyhow::{Context, Result, ensure};
use kelpdoor::Terms;
use kelpdoor::terms::{FurtherBudget, GroupTerms, Reach, Repeat};
use serde_json::Value;

use crate::cursor::JsonCursor;

pub use report::ReportFields;

/// Names that the settings give, each list in the order of the indices that stand for them, and what the terms have no
/// use for. Times are seconds.
#[derive(Clone, Debug, Default)]
pub struct SettingsNames {
    pub groups: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// A connection to a node that is not up by then has failed.
    pub connect_timeout: f64,
    /// Nodes close a connection that is idle for so long; 0: never.
    pub idle_timeout: f64,
}

/// The names in the settings, and the limits on connections.
///
/// # Errors
/// As [`read_terms`].
pub fn read_names(root: &Value) -> Result<SettingsNames> {
    let root = JsonCursor::root(root)?;
    let names = |key: &str| root.to(key)?.words();
    let allowed = root.to("allowed")?;
    let groups = root.to("profiles")?.list()?;
    Ok(SettingsNames {
        groups: groups.iter().map(|p| p.to("name")?.word()).collect::<Result<_>>()?,
        zones: names("zones")?,
        kinds: names("kinds")?,
        connect_timeout: allowed.to("connectTimeoutMs")?.seconds()?,
        idle_timeout: allowed.to("connIdleMs")?.seconds()?,
    })
}

/// Classes at most: they are told apart by one byte. The same for rungs, of which the last byte stands for none.
const MOST: usize = 255;

/// The terms in a text of JSON, and the fields of load reports.
///
/// # Errors
/// Where the text is no JSON, or as [`read_terms`].
pub fn parse_terms(text: &[u8]) -> Result<(Terms, ReportFields)> {
    read_terms(&serde_json::from_slice(text).context("not readable as JSON")?)
}

/// As [`parse_terms`], of JSON that is read already.
///
/// # Errors
/// Where it is no object, or a key has the wrong type or a value outside its meaning: the text names the key.
pub fn read_terms(root: &Value) -> Result<(Terms, ReportFields)> {
    let root = JsonCursor::root(root)?;
    let (facts, rules, allowed) = (root.to("specifics")?, root.to("rules")?, root.to("allowed")?);
    let ladder = facts.to("ratesKb")?.nums(0.0..=f64::MAX)?;
    ensure!(
        !ladder.is_empty() && ladder.iter().all(|&kb| kb > 0.0),
        "specifics.ratesKb: no ladder of rates above 0"
    );
    ensure!(ladder.len() <= MOST, "specifics.ratesKb: more than {MOST} rungs");
    ensure!(ladder.is_sorted(), "specifics.ratesKb: the ladder falls");
    let rung_utility = facts.to("levelWorth")?.nums(0.0..=f64::MAX)?;
    ensure!(rung_utility.len() == ladder.len(), "specifics.levelWorth and ratesKb differ in length");
    let top = (ladder.len() - 1) as u64;
    let [floors, tops, seats] =
        [("lowestRung", top), ("highestRung", u8::MAX.into()), ("licenceCap", u32::MAX.into())]
            .map(|(key, most)| facts.to(key).and_then(|list| list.wholes(most)));
    let (floors, tops, seats) = (floors?, tops?, seats?);
    let scales = facts.to("scaleByClass")?.nums(0.0..=f64::MAX)?;
    let join = facts.to("join")?.num(0.0..=1.0)?.unwrap_or(1.0);
    let live = facts.to("live")?.list()?.iter().map(JsonCursor::yes).collect::<Result<Vec<_>>>()?;
    let refuses_from = facts.to("refusesFrom")?.num(0.0..=f64::MAX)?.filter(|&full| full > 0.0);
    let profiles = root.to("profiles")?.list()?;
    ensure!(profiles.len() <= MOST, "profiles: more than {MOST} classes");
    let group = |(i, p): (usize, &JsonCursor)| -> Result<GroupTerms> {
        Ok(GroupTerms {
            start_target: p.to("promiseMs")?.seconds()?,
            utility: p.to("credit")?.num(0.0..=f64::MAX)?.unwrap_or(1.0),
            repeat: match (p.to("repeat")?.word()?.as_str(), p.to("keyScope")?.word()?.as_str()) {
                ("safe", _) => Repeat::Freely,
                ("keyed", "all") => Repeat::Within(Reach::Anywhere),
                ("keyed", "zone") => Repeat::Within(Reach::Zone),
                ("keyed", "cell") => Repeat::Within(Reach::Cell),
                // What is not known to be safe is taken not to be.
                _ => Repeat::Never,
            },
            repeat_window: p.to("repeatWindowMs")?.seconds()?,
            floor: floors.get(i).map_or(0, |&r| r as u8),
            // One past the ladder is no limit.
            top: tops.get(i).map_or(u8::MAX, |&r| r.min(top) as u8),
            scale: scales.get(i).copied().filter(|&s| s > 0.0).unwrap_or(1.0),
            seats: seats.get(i).map_or(0, |&n| n as u32),
            join: if live.get(i) == Some(&true) { join } else { 1.0 },
        })
    };
    let groups = profiles.iter().enumerate().map(group).collect::<Result<Vec<_>>>()?;
    let (zones, report) = (root.to("zones")?.words()?.len(), root.to("feedback")?.to("fields")?.words()?);
    let zone = root.to("zone")?.whole(zones.clamp(1, 1 << 16) as u64 - 1)?.unwrap_or(0) as u16;
    let cross_zone = root.to("prices")?.to("crossZone")?.num(0.0..=f64::MAX)?.unwrap_or(0.0);
    let longest_wait = allowed.to("maxRetryAfterMs")?.seconds()?;
    let directors = root.to("siblings")?.whole(u32::MAX.into())?.unwrap_or(1);
    let me = root.to("me")?.whole(directors.max(1) - 1)?.unwrap_or(0) as u32;
    let discovery = root.to("discovery")?;
    ensure!(
        ["", "push", "ask"].contains(&discovery.word()?.as_str()),
        "discovery: neither \"push\" nor \"ask\""
    );
    let share = |place: JsonCursor| place.num(0.0..=1.0);
    let amount = |place: JsonCursor| Ok::<_, anyhow::Error>(place.num(0.0..=f64::MAX)?.unwrap_or(0.0));
    let terms = Terms {
        me,
        directors: directors as u32,
        zone,
        groups,
        ladder,
        rung_utility,
        places_by_kind: facts.to("placesByKind")?.nums(0.0..=f64::MAX)?,
        cells: facts.to("cells")?.whole(u16::MAX.into())?.unwrap_or(1) as u16,
        racks: facts.to("racks")?.whole(u16::MAX.into())?.unwrap_or(1) as u16,
        link_unit: amount(facts.to("linkUnitKb")?)?,
        rack_uplink: amount(facts.to("rackKb")?)?,
        refuses_from,
        seen_after: facts.to("seenAfterMs")?.seconds()?,
        told_every: facts.to("toldEveryMs")?.seconds()?,
        switch_cost: amount(facts.to("switchCostS")?)?,
        cross_zone_price: if zones > 1 { cross_zone } else { 0.0 },
        max_setups: allowed.to("sendCap")?.whole(u32::MAX.into())?.unwrap_or(1) as u32,
        may_withdraw: allowed.to("mayCancel")?.yes()?,
        come_back: allowed.to("retryAfter")?.yes()?.then_some(longest_wait),
        cold_from: share(rules.to("coldFrom")?)?.unwrap_or(0.0),
        warm_within: rules.to("warmWithinMs")?.seconds()?,
        tip_multiple: amount(rules.to("tipMultiple")?)?,
        fall_window: rules.to("fallMs")?.seconds()?,
        further: Some(rules.to("ratioSpanMs")?.seconds()?)
            .filter(|&span| span > 0.0)
            .map(|span| {
                let (free, per_taken) = (amount(rules.to("extraFree")?)?, amount(rules.to("repeatRatio")?)?);
                Ok::<_, anyhow::Error>(FurtherBudget { free, per_taken, span })
            })
            .transpose()?,
        ask_list: discovery.word()? == "ask",
        uplinks_told: report.iter().any(|f| f == "x1"),
    };
    Ok((terms, ReportFields(report)))
}

#[cfg(test)]
mod tests;
