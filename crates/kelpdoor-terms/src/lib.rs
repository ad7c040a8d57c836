//! From the users' settings, an object of JSON, to the director's terms: for the bench's adapter and the platform's route
//! alike. Unknown keys are skipped.

mod report;

use anyhow::{Context, Result, ensure};
use kelpdoor::Terms;
use kelpdoor::terms::{FurtherBudget, GroupTerms, Reach, Repeat};
use serde_json::Value;

pub use report::ReportFields;

/// Names that the settings give, each list in the order of the indices that stand for them, and what the terms have no
/// use for. Times are seconds.
#[derive(Clone, Debug, Default)]
pub struct Named {
    pub groups: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// A connection to a node that is not up by then has failed.
    pub connect_timeout: f64,
    /// Nodes close a connection that is idle for so long; 0: never.
    pub idle: f64,
}

/// A place in the settings, read leniently: what is absent reads as absent.
#[derive(Clone, Copy)]
struct At<'a>(&'a Value);

impl<'a> At<'a> {
    fn to(self, key: &str) -> At<'a> {
        At(self.0.get(key).unwrap_or(&Value::Null))
    }

    fn num(self) -> Option<f64> {
        self.0.as_f64()
    }

    fn num_or(self, other: f64) -> f64 {
        self.num().unwrap_or(other)
    }

    fn seconds(self) -> f64 {
        self.num_or(0.0) / 1000.0
    }

    fn yes(self) -> bool {
        self.0.as_bool().unwrap_or(false)
    }

    fn word(self) -> &'a str {
        self.0.as_str().unwrap_or("")
    }

    fn list(self) -> impl Iterator<Item = At<'a>> {
        self.0.as_array().into_iter().flatten().map(At)
    }

    fn nums(self) -> Vec<f64> {
        self.list().map(|v| v.num_or(0.0)).collect()
    }
}

/// The names in the settings, and the limits on connections.
pub fn named(root: &Value) -> Named {
    let root = At(root);
    let names = |key: &str| root.to(key).list().map(|v| v.word().to_owned()).collect();
    let allowed = root.to("allowed");
    Named {
        groups: root.to("profiles").list().map(|p| p.to("name").word().to_owned()).collect(),
        zones: names("zones"),
        kinds: names("kinds"),
        connect_timeout: allowed.to("connectTimeoutMs").seconds(),
        idle: allowed.to("connIdleMs").seconds(),
    }
}

/// The terms in a text of JSON, and the fields of load reports.
///
/// # Errors
/// Where the text is no JSON, no object, or its ladder of rates cannot be used.
pub fn read(text: &[u8]) -> Result<(Terms, ReportFields)> {
    terms(&serde_json::from_slice(text).context("not readable as JSON")?)
}

/// As [`read`], of JSON that is read already.
///
/// # Errors
/// Where it is no object, or its ladder of rates cannot be used.
pub fn terms(root: &Value) -> Result<(Terms, ReportFields)> {
    ensure!(root.is_object(), "not a JSON object");
    let root = At(root);
    let (facts, rules, allowed) = (root.to("specifics"), root.to("rules"), root.to("allowed"));
    let [floors, tops, scales, seats] =
        ["lowestRung", "highestRung", "scaleByClass", "licenceCap"].map(|key| facts.to(key).nums());
    let ladder = facts.to("ratesKb").nums();
    ensure!(!ladder.is_empty() && ladder.iter().all(|&kb| kb > 0.0), "no ladder of rates above 0");
    let rung_utility = facts.to("levelWorth").nums();
    ensure!(rung_utility.len() == ladder.len(), "levelWorth and ratesKb differ in length");
    let groups = root.to("profiles").list().enumerate().map(|(i, p)| GroupTerms {
        start_target: p.to("promiseMs").seconds(),
        utility: p.to("credit").num_or(1.0),
        repeat: match (p.to("repeat").word(), p.to("keyScope").word()) {
            ("safe", _) => Repeat::Freely,
            ("keyed", "all") => Repeat::Within(Reach::Anywhere),
            ("keyed", "zone") => Repeat::Within(Reach::Zone),
            ("keyed", "cell") => Repeat::Within(Reach::Cell),
            _ => Repeat::Never,
        },
        repeat_window: p.to("repeatWindowMs").seconds(),
        floor: floors.get(i).map_or(0, |&r| r as u8),
        top: tops.get(i).map_or(u8::MAX, |&r| r as u8),
        scale: scales.get(i).copied().filter(|&s| s > 0.0).unwrap_or(1.0),
        seats: seats.get(i).map_or(0, |&n| n as u32),
    });
    let report = root.to("feedback").to("fields").list().map(|f| f.word().to_owned()).collect::<Vec<_>>();
    let zones = root.to("zones").list().count();
    let terms = Terms {
        me: root.to("me").num_or(0.0) as u32,
        directors: root.to("siblings").num_or(1.0) as u32,
        zone: root.to("zone").num_or(0.0) as u16,
        groups: groups.collect(),
        ladder,
        rung_utility,
        places_by_kind: facts.to("placesByKind").nums(),
        cells: facts.to("cells").num_or(1.0) as u16,
        racks: facts.to("racks").num_or(1.0) as u16,
        link_unit: facts.to("linkUnitKb").num_or(0.0),
        rack_uplink: facts.to("rackKb").num_or(0.0),
        seen_after: facts.to("seenAfterMs").seconds(),
        told_every: facts.to("toldEveryMs").seconds(),
        switch_cost: facts.to("switchCostS").num_or(0.0),
        cross_zone_price: if zones > 1 { root.to("prices").to("crossZone").num_or(0.0) } else { 0.0 },
        max_setups: allowed.to("sendCap").num_or(1.0) as u32,
        may_withdraw: allowed.to("mayCancel").yes(),
        come_back: allowed.to("retryAfter").yes().then(|| allowed.to("maxRetryAfterMs").seconds()),
        cold_from: rules.to("coldFrom").num_or(0.0),
        warm_within: rules.to("warmWithinMs").seconds(),
        tip_multiple: rules.to("tipMultiple").num_or(0.0),
        fall_window: rules.to("fallMs").seconds(),
        further: rules.to("ratioSpanMs").num().filter(|&ms| ms > 0.0).map(|ms| FurtherBudget {
            free: rules.to("extraFree").num_or(0.0),
            per_taken: rules.to("repeatRatio").num_or(0.0),
            span: ms / 1000.0,
        }),
        ask_list: root.to("discovery").word() == "ask",
        uplinks_told: report.iter().any(|f| f == "x1"),
    };
    Ok((terms, ReportFields(report)))
}
