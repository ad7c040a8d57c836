//! kelpdoor decides where video sessions play and at what rung, on media nodes with shared links.
//!
//! The library does no I/O: [`Director::round`] takes all that came in since the last call and writes its
//! decisions into an [`Orders`].

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
