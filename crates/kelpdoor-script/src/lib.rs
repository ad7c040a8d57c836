//! Settings and trouble scripts in Starlark, evaluated with limits on steps and memory.
//!
//! A script calls builtins such as `group("lecture", utility = 2)`. [`evaluate`] collects the calls with their source
//! positions; [`Deployment::from_calls`] and other readers check them against types.

mod deployment;
mod eval;

pub use deployment::{
    AgreedNode, AgreedSettings, AgreedTitle, Agreement, Deployment, Director, Directors, Fleet, Further,
    Group, Keeper, KeeperSettings, Ladder, Lists, LocalSettings, NodeLinks, Players, RepeatWord, Roster,
    School, Tokens, Voter, Voters,
};
pub use deployment::{
    MAX_CONTRADICTION, MAX_DIRECTORS, MAX_NUMBERED_DIRECTORS, MAX_ZONES, MIN_CONTRADICTION,
};
pub use eval::{Call, SettingsError, SourcePosition, evaluate, evaluate_file};

/// Builtins of a director's complete settings.
pub const DEPLOYMENT_BUILTINS: &[&str] = &[
    "ladder",
    "group",
    "fleet",
    "director",
    "further",
    "roster",
    "players",
    "node_links",
    "tokens",
    "keeper",
    "school",
];

/// Builtins of a document that directors agree on.
pub const AGREED_BUILTINS: &[&str] = &[
    "ladder",
    "group",
    "fleet",
    "further",
    "directors",
    "voters",
    "node",
    "title",
    "school",
    "tokens",
    "keeper",
];

/// Builtins of a director's local settings, where the rest is agreed.
pub const LOCAL_BUILTINS: &[&str] = &["director", "roster", "players", "node_links", "agreement", "voter"];

/// Builtins of a director's settings, whether local or complete.
pub const LOCAL_OR_COMPLETE_BUILTINS: &[&str] = &[
    "ladder",
    "group",
    "fleet",
    "director",
    "further",
    "roster",
    "players",
    "node_links",
    "tokens",
    "keeper",
    "school",
    "agreement",
    "voter",
];

/// Builtins of a keeper's settings.
pub const KEEPER_BUILTINS: &[&str] = &["keeper", "school", "voter", "agreement"];

/// Builtins of a target: the planned size of a fleet.
pub const TARGET_BUILTINS: &[&str] = &["target", "budget", "faults", "assume"];

/// Builtins of a trouble script.
pub const TROUBLE_BUILTINS: &[&str] = &[
    "day",
    "crash",
    "vanish",
    "slow",
    "neighbour",
    "rack_sag",
    "ageing",
    "deploy",
    "discovery_stale",
    "report_late",
    "balancer_roll",
    "balancer_stall",
    "zone_loss",
    "hot_key",
    "preempt",
    "drain",
    "keeper_roll",
    "keeper_stall",
    "new_key",
    "cut",
    "late",
    "trickle",
    "line_reset",
    "voter_roll",
    "voter_stall",
    "voter_disk",
    "voter_full",
    "propose",
    "voter_list",
    "wall_step",
];
