//! The director as a library. [`DirectorCore`] turns inputs into rounds of the placement logic and the resulting orders
//! into effects, without I/O. [`serve`] runs a core with its sockets, timers and files and makes no decisions. Two
//! directors in one process share nothing.

mod agreed_rules;
mod core;
pub mod effect;
pub mod journal;
mod keeper_client;
mod link;
mod rate_limiter;
mod roster;
mod session;
mod shell;
mod store;
mod timers;
mod token_verifier;

pub use agreed_rules::{RulesFollower, RulesInForce, load_cached_version};
pub use core::{Counts, DirectorCore};
pub use effect::{Effect, Input, NodeEvent, TokenCheck};
pub use keeper_client::{keeper_options, seat_pools};
pub use kelpdoor_clock::{SlewedClock, SlewedTime};
pub use rate_limiter::{RateDecision, RateLimiter};
pub use roster::{
    MAX_LINE, MAX_NODES, MAX_TITLES, Phase, RosterError, RosterList, RosterMessage, RosterNode,
    RosterRequest, RosterTitle,
};
pub use shell::{Running, ServeOptions, serve};
pub use store::{StoreError, load_list, save_list};
