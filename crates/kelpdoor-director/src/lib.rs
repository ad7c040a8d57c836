//! The director as a library: [`Desk`] turns what came in into rounds of the decisions and their orders into
//! effects, without I/O; [`serve`] owns sockets and timers round it and has no rule of its own. Two directors in
//! one process share nothing.

mod desk;
pub mod effect;
mod following;
mod gate;
pub mod journal;
mod keeping;
mod link;
mod roster;
mod session;
mod shell;
mod store;
mod timers;
mod verify;

pub use desk::{Counts, Desk};
pub use effect::{Effect, Input, NodeWord, Shown};
pub use following::{Following, Ruling, kept};
pub use gate::{Gate, Pass};
pub use keeping::{keeper_options, pools};
pub use kelpdoor_clock::{SlewedClock, SlewedTime};
pub use roster::{
    FromRoster, MAX_LINE, MAX_NODES, MAX_TITLES, Phase, RosterFault, RosterList, RosterNode, RosterTitle,
    ToRoster,
};
pub use shell::{Running, ServeOptions, serve};
pub use store::{StoreError, load_list, save_list};
