//! Trouble scripts: what happens to whom and when, in the settings language.

use std::path::Path;

use kelpdoor_script::{Call, SettingsError, TROUBLE_BUILTINS};
use serde::{Deserialize, Serialize};

/// The day itself: how much of everything.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DaySettings {
    pub seconds: f64,
    pub directors: u32,
    pub nodes: u32,
    pub racks: u16,
    pub zones: Vec<String>,
    /// Players that come one by one over the day.
    pub players: u32,
    /// A class that presses play within a second.
    pub class_of: u32,
    pub class_at: f64,
    /// Rough length of a session, s.
    pub watch: f64,
    /// How late the roster tells, s.
    pub roster_lag: f64,
    pub seed: u64,
    /// Schools with so many seats each, viewers with tokens of theirs, and how long a token lasts, s.
    pub schools: u32,
    pub seats: u32,
    pub tickets: u32,
    pub token_lasts: f64,
    /// Voters; with any, the directors' rules are agreed.
    pub voters: u32,
    /// Voters that are not on the first list and may be put on a later one.
    pub spare_voters: u32,
    /// s; what the documents state.
    pub contradiction: f64,
    /// Steady clocks run up to 1 in 100 apart.
    pub clocks_apart: bool,
}

impl Default for DaySettings {
    fn default() -> Self {
        DaySettings {
            seconds: 60.0,
            directors: 3,
            nodes: 16,
            racks: 4,
            zones: vec!["east".into(), "west".into()],
            players: 270,
            class_of: 30,
            class_at: 12.0,
            watch: 14.0,
            roster_lag: 1.0,
            seed: 1,
            schools: 0,
            seats: 0,
            tickets: 0,
            token_lasts: 6.0,
            voters: 0,
            spare_voters: 0,
            contradiction: 2.0,
            clocks_apart: false,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TroubleKind {
    Crash,
    Vanish,
    Slow,
    Neighbour,
    RackSag,
    Ageing,
    Deploy,
    DiscoveryStale,
    ReportLate,
    BalancerRoll,
    BalancerStall,
    ZoneLoss,
    HotKey,
    Preempt,
    Drain,
    /// The keeper of seats is killed and started again; or stands still.
    KeeperRoll,
    KeeperStall,
    /// Tokens are signed by a new key, and the old ones are taken out after a while.
    NewKey,
    /// Nothing passes between some processes; all of it comes late; it trickles; connections are reset.
    Cut,
    Late,
    Trickle,
    LineReset,
    /// Voters are killed and started again; stand still; lose their disk; cannot write to it.
    VoterRoll,
    VoterStall,
    VoterDisk,
    VoterFull,
    /// A changed document is proposed.
    Propose,
    /// The wall clocks of directors are stepped, and set right again.
    WallStep,
    /// Voters are started and a list of them proposed; who is off it then ends.
    VoterList,
}

const KINDS: [(&str, TroubleKind); 29] = [
    ("crash", TroubleKind::Crash),
    ("vanish", TroubleKind::Vanish),
    ("slow", TroubleKind::Slow),
    ("neighbour", TroubleKind::Neighbour),
    ("rack_sag", TroubleKind::RackSag),
    ("ageing", TroubleKind::Ageing),
    ("deploy", TroubleKind::Deploy),
    ("discovery_stale", TroubleKind::DiscoveryStale),
    ("report_late", TroubleKind::ReportLate),
    ("balancer_roll", TroubleKind::BalancerRoll),
    ("balancer_stall", TroubleKind::BalancerStall),
    ("zone_loss", TroubleKind::ZoneLoss),
    ("hot_key", TroubleKind::HotKey),
    ("preempt", TroubleKind::Preempt),
    ("drain", TroubleKind::Drain),
    ("keeper_roll", TroubleKind::KeeperRoll),
    ("keeper_stall", TroubleKind::KeeperStall),
    ("new_key", TroubleKind::NewKey),
    ("cut", TroubleKind::Cut),
    ("late", TroubleKind::Late),
    ("trickle", TroubleKind::Trickle),
    ("line_reset", TroubleKind::LineReset),
    ("voter_roll", TroubleKind::VoterRoll),
    ("voter_stall", TroubleKind::VoterStall),
    ("voter_disk", TroubleKind::VoterDisk),
    ("voter_full", TroubleKind::VoterFull),
    ("propose", TroubleKind::Propose),
    ("voter_list", TroubleKind::VoterList),
    ("wall_step", TroubleKind::WallStep),
];

/// One trouble. Which fields count depends on its kind; `docs/bad-day.md` has the table.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// s from the start of the day.
    pub at: f64,
    /// s; until what died comes back, or what changed is as before.
    #[serde(default = "lasts")]
    pub lasts: f64,
    #[serde(default)]
    pub nodes: Vec<u32>,
    #[serde(default)]
    pub directors: Vec<u32>,
    #[serde(default)]
    pub voters: Vec<u32>,
    /// Of a cut: `both`, `there` (from directors, or from the voters named) or `back`.
    #[serde(default = "both")]
    pub way: String,
    /// Numbers the document that is proposed.
    #[serde(default)]
    pub change: u32,
    #[serde(default)]
    pub racks: Vec<u16>,
    #[serde(default)]
    pub zone: String,
    /// What is left of a link or uplink; for late news, seconds more.
    #[serde(default = "half")]
    pub factor: f64,
    #[serde(default)]
    pub title: String,
    #[serde(default)]
    pub players: u32,
    /// s between a drain's notice and the end.
    #[serde(default = "notice")]
    pub notice: f64,
}

fn both() -> String {
    "both".into()
}

fn lasts() -> f64 {
    8.0
}

fn half() -> f64 {
    0.5
}

fn notice() -> f64 {
    2.0
}

#[derive(Clone, Debug, Default)]
pub struct TroubleScript {
    pub size: DaySettings,
    pub troubles: Vec<(TroubleKind, Trouble)>,
}

impl TroubleScript {
    /// # Errors
    /// Every fault found, each with its place.
    pub fn from_calls(file: &str, calls: &[Call]) -> Result<Self, Vec<SettingsError>> {
        let (mut script, mut faults) = (TroubleScript::default(), Vec::new());
        for call in calls.iter().filter(|c| c.builtin == "day") {
            match call.parse_args::<DaySettings>(file) {
                Ok(size) => {
                    let sane = size.seconds > 0.0 && size.seconds <= 3600.0;
                    let fleet = (1..=200).contains(&size.nodes) && (1..=20).contains(&size.directors);
                    let racks = size.racks >= 1 && u32::from(size.racks) <= size.nodes;
                    let few = size.players <= 20_000 && size.class_of <= 2_000 && !size.zones.is_empty();
                    let few =
                        few && size.tickets <= 20_000 && size.schools <= 1000 && size.token_lasts >= 1.0;
                    let voting = matches!(size.voters, 0 | 3 | 5)
                        && size.spare_voters <= 8
                        && (0.5..=10.0).contains(&size.contradiction);
                    if !(voting
                        && sane
                        && fleet
                        && racks
                        && few
                        && size.watch >= 3.0
                        && size.roster_lag >= 0.0)
                    {
                        faults.push(call.error(file, "day: a figure is out of range"));
                    }
                    script.size = size;
                }
                Err(fault) => faults.push(fault),
            }
        }
        let size = script.size.clone();
        for call in calls.iter().filter(|c| c.builtin != "day") {
            let Some((_, kind)) = KINDS.iter().find(|(word, _)| *word == call.builtin) else { continue };
            match call.parse_args::<Trouble>(file) {
                Ok(t) => {
                    if let Some(what) = wrong(*kind, &t, &size) {
                        faults.push(call.error(file, format!("{}: {what}", call.builtin)));
                    }
                    script.troubles.push((*kind, t));
                }
                Err(fault) => faults.push(fault),
            }
        }
        script.troubles.sort_by(|a, b| a.1.at.total_cmp(&b.1.at));
        if faults.is_empty() { Ok(script) } else { Err(faults) }
    }

    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<SettingsError>> {
        TroubleScript::from_calls(file, &kelpdoor_script::evaluate(file, text, TROUBLE_BUILTINS)?)
    }

    pub fn read(path: &Path) -> Result<Self, Vec<SettingsError>> {
        TroubleScript::from_calls(
            &path.display().to_string(),
            &kelpdoor_script::evaluate_file(path, TROUBLE_BUILTINS)?,
        )
    }
}

fn wrong(kind: TroubleKind, t: &Trouble, size: &DaySettings) -> Option<String> {
    let times = [t.at, t.lasts, t.factor, t.notice];
    if !times.iter().all(|v| v.is_finite() && *v >= 0.0) {
        return Some("times and factor have to be at least 0".into());
    }
    if let Some(n) = t.nodes.iter().find(|n| **n >= size.nodes) {
        return Some(format!("no node {n}, the day has {}", size.nodes));
    }
    if let Some(d) = t.directors.iter().find(|d| **d >= size.directors) {
        return Some(format!("no director {d}, the day has {}", size.directors));
    }
    if let Some(v) = t.voters.iter().find(|v| **v >= size.voters + size.spare_voters) {
        return Some(format!("no voter {v}, the day has {}", size.voters + size.spare_voters));
    }
    if !["both", "there", "back"].contains(&t.way.as_str()) {
        return Some(format!("way is both, there or back, not {:?}", t.way));
    }
    if let Some(r) = t.racks.iter().find(|r| **r >= size.racks) {
        return Some(format!("no rack {r}, the day has {}", size.racks));
    }
    let needs = |missing: bool, what: &str| missing.then(|| format!("{what} is needed"));
    match kind {
        TroubleKind::Crash
        | TroubleKind::Vanish
        | TroubleKind::Slow
        | TroubleKind::Neighbour
        | TroubleKind::Ageing
        | TroubleKind::Deploy
        | TroubleKind::Preempt
        | TroubleKind::Drain => needs(t.nodes.is_empty(), "nodes"),
        TroubleKind::RackSag => needs(t.racks.is_empty(), "racks"),
        TroubleKind::WallStep if size.voters == 0 => Some("it needs voters in the day".into()),
        TroubleKind::BalancerRoll | TroubleKind::BalancerStall | TroubleKind::WallStep => {
            needs(t.directors.is_empty(), "directors")
        }
        TroubleKind::ZoneLoss if !size.zones.contains(&t.zone) => Some(format!("no zone {:?}", t.zone)),
        TroubleKind::HotKey => needs(t.players == 0 || t.players > 5000, "players, 1 to 5000,"),
        TroubleKind::Cut
        | TroubleKind::Late
        | TroubleKind::Trickle
        | TroubleKind::LineReset
        | TroubleKind::VoterRoll
        | TroubleKind::VoterStall
        | TroubleKind::VoterDisk
        | TroubleKind::VoterFull => needs(t.voters.is_empty(), "voters"),
        TroubleKind::Propose => needs(size.voters == 0, "voters in the day"),
        TroubleKind::VoterList => needs(!matches!(t.voters.len(), 3 | 5), "three or five voters"),
        TroubleKind::KeeperRoll | TroubleKind::KeeperStall | TroubleKind::NewKey => {
            needs(size.schools == 0, "schools in the day")
        }
        TroubleKind::ZoneLoss | TroubleKind::DiscoveryStale | TroubleKind::ReportLate => None,
    }
}
