//! The test lab: stand-ins for nodes, roster and players, trouble scripts, the record of all messages, and the checker of
//! the rules. The daemon does not depend on it.

pub mod agreement_check;
pub mod chaos;
pub mod check;
pub mod daemon;
pub mod day;
pub mod drawn_day;
pub mod fault_proxy;
pub mod fleet;
pub mod fluid;
pub mod load;
pub mod node;
pub mod platform;
pub mod player;
pub mod record;
pub mod relay;
pub mod roster;
pub mod scale;
pub mod schools;
pub mod trouble;
pub mod voters;
