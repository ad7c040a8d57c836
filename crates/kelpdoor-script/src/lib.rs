//! Settings and trouble scripts, written in Starlark and bounded in steps and memory.
//!
//! A script calls words (`group("lecture", utility = 2)`); [`run`] collects the calls with their places, and
//! [`Deployment::from_calls`] or whoever reads them checks them against types. Nothing here decides.

mod deployment;
mod run;

pub use deployment::{
    AgreedNode, AgreedTitle, Agreement, Deployment, Director, Directors, Fleet, Further, Group, Keeper,
    KeeperBook, Ladder, Lists, NodeLinks, Own, Players, RepeatWord, Roster, School, Shared, Tokens, Voter,
    Voters,
};
pub use deployment::{CONTRADICTION, MAX_ZONES, MOST_BY_NUMBER, MOST_DIRECTORS};
pub use run::{Call, Fault, Place, read, run};

/// Words of a deployment's settings.
pub const DEPLOYMENT: &[&str] = &[
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
pub const SHARED: &[&str] = &[
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
pub const OWN: &[&str] = &["director", "roster", "players", "node_links", "agreement", "voter"];

/// Both kinds of a director's settings.
pub const OWN_OR_WHOLE: &[&str] = &[
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
pub const KEEPER: &[&str] = &["keeper", "school", "voter", "agreement"];

/// Words of a target: a fleet as it is to be.
pub const TARGET: &[&str] = &["target", "budget", "faults", "assume"];

/// Words of a trouble script.
pub const TROUBLE: &[&str] = &[
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
