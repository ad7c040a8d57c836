//! Decides on which media node a video session plays and at what rung, given shared links.
//!
//! The library does no I/O: [`Director::round`] takes all input since the last call and writes its decisions
//! to an [`Orders`] implementation.

mod accounting;
mod decide;
mod derived_terms;
pub mod ids;
pub mod orders;
pub mod round;
mod state;
pub mod terms;

pub use decide::Director;
pub use orders::Orders;
pub use round::Round;
pub use terms::Terms;
