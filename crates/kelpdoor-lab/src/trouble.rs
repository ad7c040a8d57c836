//! Trouble scripts: what goes wrong where and when on a day, in the settings language.

use std::path::Path;

use kelpdoor_script::{Call, SettingsError, TROUBLE_BUILTINS};
use serde::{Deserialize, Serialize};

/// Arguments of the builtin `day`: the size and load of the fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DaySettings {
    /// Length of the day.
    pub seconds: f64,
    pub directors: u32,
    pub nodes: u32,
    pub racks: u16,
    pub zones: Vec<String>,
    /// Players that arrive at random times over the day.
    pub players: u32,
    /// Further players that ask for the same title within one second.
    pub class_of: u32,
    /// When these players arrive, in seconds from the start.
    pub class_at: f64,
    /// Mean length of a session before the scale of its group, s.
    pub watch: f64,
    /// Delay with which the roster reports changes, s.
    pub roster_lag: f64,
    pub seed: u64,
    pub schools: u32,
    /// Seats of each school.
    pub seats: u32,
    /// Viewers with tokens of a school.
    pub tickets: u32,
    /// Mean lifetime of a token, s.
    pub token_lasts: f64,
    /// Number of voters on the first list; if there are any, directors go by agreed rules.
    pub voters: u32,
    /// Voters that are not on the first list but may be on a later one.
    pub spare_voters: u32,
    /// The value of `contradiction` in the documents, s.
    pub contradiction: f64,
    /// Lets the steady clocks of the processes run at rates that differ by up to 1 %.
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

/// What goes wrong. The builtins of scripts are the names of the variants in snake case.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TroubleKind {
    /// Nodes are killed and restarted.
    Crash,
    /// Nodes stop answering, and are restarted later.
    Vanish,
    /// The links of nodes lose rate.
    Slow,
    /// The links of nodes lose rate in short, repeated intervals.
    Neighbour,
    /// The uplinks of racks lose rate.
    RackSag,
    /// Set-ups at nodes become slower step by step until the nodes are restarted.
    Ageing,
    /// Nodes are drained and restarted, one by one.
    Deploy,
    /// The roster reports changes later than usual.
    DiscoveryStale,
    /// Nodes send their notifications later than usual.
    ReportLate,
    /// Directors are killed and restarted, one by one.
    BalancerRoll,
    /// The processes of directors are stopped for a while.
    BalancerStall,
    /// All nodes of a zone are killed and restarted.
    ZoneLoss,
    /// Many players ask for one title.
    HotKey,
    /// Nodes are drained, killed after the notice, and restarted.
    Preempt,
    /// Nodes are drained for a while.
    Drain,
    /// The keeper is killed and restarted.
    KeeperRoll,
    /// The keeper's process is stopped for a while.
    KeeperStall,
    /// Tokens are signed with a new key; the old keys are removed from the key set after a while.
    NewKey,
    /// Nothing passes between some processes.
    Cut,
    /// All that passes between some processes is delayed.
    Late,
    /// The rate between some processes is limited.
    Trickle,
    /// Connections between some processes are reset.
    LineReset,
    /// Voters are killed and restarted, one by one.
    VoterRoll,
    /// The processes of voters are stopped for a while.
    VoterStall,
    /// Voters are killed and restarted with an empty disk, one by one.
    VoterDisk,
    /// Voters cannot write to their disk for a while, one by one.
    VoterFull,
    /// A changed document is proposed.
    Propose,
    /// The wall clocks of directors are stepped and set right again.
    WallStep,
    /// Voters are started and a new list of voters is proposed; voters that are not on it are ended.
    VoterList,
}

/// Names of the kinds in scripts.
const BUILTINS: [(&str, TroubleKind); 29] = [
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

/// Arguments of a trouble. Its kind determines which fields count; `docs/bad-day.md` has the table.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// Seconds from the start of the day.
    pub at: f64,
    /// Seconds until what failed is restarted or what changed is restored.
    #[serde(default = "default_lasts")]
    pub lasts: f64,
    #[serde(default)]
    pub nodes: Vec<u32>,
    #[serde(default)]
    pub directors: Vec<u32>,
    #[serde(default)]
    pub voters: Vec<u32>,
    /// Direction of a fault between processes: `there` (from the directors, or from the voters if no director is named),
    /// `back` or `both`. For `wall_step`, `back` steps the clock back.
    #[serde(default = "default_way")]
    pub way: String,
    /// Number of the document that is proposed.
    #[serde(default)]
    pub change: u32,
    #[serde(default)]
    pub racks: Vec<u16>,
    #[serde(default)]
    pub zone: String,
    /// Remaining share of a link or uplink; for delays and clock steps, seconds; for `trickle`, bytes a
    /// second.
    #[serde(default = "default_factor")]
    pub factor: f64,
    #[serde(default)]
    pub title: String,
    #[serde(default)]
    pub players: u32,
    /// Seconds between the notice and the end of a process, or between a kill and the restart.
    #[serde(default = "default_notice")]
    pub notice: f64,
}

fn default_way() -> String {
    "both".into()
}

fn default_lasts() -> f64 {
    8.0
}

fn default_factor() -> f64 {
    0.5
}

fn default_notice() -> f64 {
    2.0
}

/// A day and its troubles, ordered by time.
#[derive(Clone, Debug, Default)]
pub struct TroubleScript {
    pub size: DaySettings,
    pub troubles: Vec<(TroubleKind, Trouble)>,
}

impl TroubleScript {
    /// Builds a script from the calls of builtins in a file.
    ///
    /// # Errors
    /// All errors found, each with its position.
    pub fn from_calls(file: &str, calls: &[Call]) -> Result<Self, Vec<SettingsError>> {
        let (mut script, mut errors) = (TroubleScript::default(), Vec::new());
        for call in calls.iter().filter(|c| c.builtin == "day") {
            match call.parse_args::<DaySettings>(file) {
                Ok(size) => {
                    let valid_duration = size.seconds > 0.0 && size.seconds <= 3600.0;
                    let valid_fleet = (1..=200).contains(&size.nodes) && (1..=20).contains(&size.directors);
                    let valid_racks = size.racks >= 1 && u32::from(size.racks) <= size.nodes;
                    let valid_load =
                        size.players <= 20_000 && size.class_of <= 2_000 && !size.zones.is_empty();
                    let valid_load = valid_load
                        && size.tickets <= 20_000
                        && size.schools <= 1000
                        && size.token_lasts >= 1.0;
                    let valid_voters = matches!(size.voters, 0 | 3 | 5)
                        && size.spare_voters <= 8
                        && (0.5..=10.0).contains(&size.contradiction);
                    if !(valid_voters
                        && valid_duration
                        && valid_fleet
                        && valid_racks
                        && valid_load
                        && size.watch >= 3.0
                        && size.roster_lag >= 0.0)
                    {
                        errors.push(call.error(file, "day: a value is out of range"));
                    }
                    script.size = size;
                }
                Err(error) => errors.push(error),
            }
        }
        let size = script.size.clone();
        for call in calls.iter().filter(|c| c.builtin != "day") {
            let Some((_, kind)) = BUILTINS.iter().find(|(word, _)| *word == call.builtin) else { continue };
            match call.parse_args::<Trouble>(file) {
                Ok(t) => {
                    if let Some(what) = find_error(*kind, &t, &size) {
                        errors.push(call.error(file, format!("{}: {what}", call.builtin)));
                    }
                    script.troubles.push((*kind, t));
                }
                Err(error) => errors.push(error),
            }
        }
        script.troubles.sort_by(|a, b| a.1.at.total_cmp(&b.1.at));
        if errors.is_empty() { Ok(script) } else { Err(errors) }
    }

    /// Evaluates a script given as text; `file` names it in errors.
    ///
    /// # Errors
    /// All errors found, each with its position.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<SettingsError>> {
        TroubleScript::from_calls(file, &kelpdoor_script::evaluate(file, text, TROUBLE_BUILTINS)?)
    }

    /// Evaluates a script file.
    ///
    /// # Errors
    /// All errors found, each with its position.
    pub fn read(path: &Path) -> Result<Self, Vec<SettingsError>> {
        TroubleScript::from_calls(
            &path.display().to_string(),
            &kelpdoor_script::evaluate_file(path, TROUBLE_BUILTINS)?,
        )
    }
}

/// The first error in the arguments of a trouble.
fn find_error(kind: TroubleKind, t: &Trouble, size: &DaySettings) -> Option<String> {
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
    let required = |missing: bool, what: &str| missing.then(|| format!("{what} is needed"));
    match kind {
        TroubleKind::Crash
        | TroubleKind::Vanish
        | TroubleKind::Slow
        | TroubleKind::Neighbour
        | TroubleKind::Ageing
        | TroubleKind::Deploy
        | TroubleKind::Preempt
        | TroubleKind::Drain => required(t.nodes.is_empty(), "nodes"),
        TroubleKind::RackSag => required(t.racks.is_empty(), "racks"),
        TroubleKind::WallStep if size.voters == 0 => Some("it needs voters in the day".into()),
        TroubleKind::BalancerRoll | TroubleKind::BalancerStall | TroubleKind::WallStep => {
            required(t.directors.is_empty(), "directors")
        }
        TroubleKind::ZoneLoss if !size.zones.contains(&t.zone) => Some(format!("no zone {:?}", t.zone)),
        TroubleKind::HotKey => required(t.players == 0 || t.players > 5000, "players, 1 to 5000,"),
        TroubleKind::Cut
        | TroubleKind::Late
        | TroubleKind::Trickle
        | TroubleKind::LineReset
        | TroubleKind::VoterRoll
        | TroubleKind::VoterStall
        | TroubleKind::VoterDisk
        | TroubleKind::VoterFull => required(t.voters.is_empty(), "voters"),
        TroubleKind::Propose => required(size.voters == 0, "voters in the day"),
        TroubleKind::VoterList => required(!matches!(t.voters.len(), 3 | 5), "three or five voters"),
        TroubleKind::KeeperRoll | TroubleKind::KeeperStall | TroubleKind::NewKey => {
            required(size.schools == 0, "schools in the day")
        }
        TroubleKind::ZoneLoss | TroubleKind::DiscoveryStale | TroubleKind::ReportLate => None,
    }
}
