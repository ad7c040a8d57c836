//! The director as a library: [`Desk`] turns what came in into rounds of the decisions and their orders into
//! effects, without I/O; [`serve`] owns sockets and timers round it and has no rule of its own. Two directors in
//! one process share nothing.

mod agreed_rules;
mod desk;
pub mod effect;
mod gate;
pub mod journal;
mod keeper_client;
mod link;
mod roster;
mod session;
mod shell;
mod store;
mod timers;
mod token_verifier;

pub use agreed_rules::{RulesFollower, RulesInForce, load_cached_version};
pub use desk::{Counts, Desk};
pub use effect::{Effect, Input, NodeWord, Shown};
pub use gate::{Gate, Pass};
pub use keeper_client::{keeper_options, seat_pools};
pub use kelpdoor_clock::{SlewedClock, SlewedTime};
pub use roster::{
    FromRoster, MAX_LINE, MAX_NODES, MAX_TITLES, Phase, RosterFault, RosterList, RosterNode, RosterTitle,
    ToRoster,
};
pub use shell::{Running, ServeOptions, serve};
pub use store::{StoreError, load_list, save_list};
