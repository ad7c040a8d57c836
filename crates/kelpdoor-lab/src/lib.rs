//! The lab: stand-ins for nodes, roster and players, trouble scripts, the record of what crossed the sockets, and
//! the checker of the six rules. The daemon does not need it.

pub mod agreement_check;
pub mod chaos;
pub mod check;
pub mod daemon;
pub mod day;
pub mod fault_proxy;
pub mod fleet;
pub mod fluid;
pub mod fromday;
pub mod load;
pub mod node;
pub mod platform;
pub mod player;
pub mod record;
pub mod relay;
pub mod roster;
pub mod scale;
pub mod tickets;
pub mod trouble;
pub mod voters;
