//! Settings and trouble scripts, written in Starlark and bounded in steps and memory.
//!
//! A script calls words (`group("lecture", utility = 2)`); [`evaluate`] collects the calls with their places, and
//! [`Deployment::from_calls`] or whoever reads them checks them against types. Nothing here decides.

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

/// Words of a deployment's settings.
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

/// Words of a document that directors agree on.
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

/// Words of a director's own settings, where the rest is agreed.
pub const LOCAL_BUILTINS: &[&str] = &["director", "roster", "players", "node_links", "agreement", "voter"];

/// Both kinds of a director's settings.
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

/// Words of a keeper's settings.
pub const KEEPER_BUILTINS: &[&str] = &["keeper", "school", "voter", "agreement"];

/// Words of a target: a fleet as it is to be.
pub const TARGET_BUILTINS: &[&str] = &["target", "budget", "faults", "assume"];

/// Words of a trouble script.
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
