//! The output of a round.

use crate::ids::{NodeId, SessId};

/// Receives the decisions of a round, in the order in which they take effect.
pub trait Orders {
    /// Sets the rung of a session, before its SETUP or while it plays.
    fn set_rung(&mut self, sess: SessId, rung: u8);
    /// Sends a SETUP that times out after `wait` seconds; `None` waits until the viewer gives up.
    fn send_setup(&mut self, sess: SessId, node: NodeId, wait: Option<f64>);
    /// Cancels the SETUP with number `setup` of a session; the first one has number 0.
    fn withdraw(&mut self, sess: SessId, setup: u8);
    /// Final answer: the session is refused for now; the viewer may retry after `come_back` seconds.
    fn reply_busy(&mut self, sess: SessId, come_back: Option<f64>);
    /// Final answer: the session failed, and a SETUP may have run.
    fn reply_failed(&mut self, sess: SessId);
    /// Removes a playing session from its node; its viewer returns to this director.
    fn shift(&mut self, sess: SessId);
    /// Starts or stops the subscription to changes of the node list.
    fn subscribe(&mut self, on: bool);
    /// Requests the complete node list once.
    fn fetch_list(&mut self);
    /// Asks a node for a sign of life.
    fn probe(&mut self, node: NodeId);
    /// Closes the idle connections to a node.
    fn close_idle_connections(&mut self, node: NodeId);
    /// Sends a message to another director, or to all of them.
    fn send_message(&mut self, director: Option<u16>, message: &[u8]);
    /// Adds a line to the log.
    fn log(&mut self, line: &str);
    /// Reports that the decisions of the caller can no longer be trusted.
    fn report_fault(&mut self, why: &str);
    /// Calls the director again after `after` seconds, even without input.
    fn wake_after(&mut self, after: f64);
}
