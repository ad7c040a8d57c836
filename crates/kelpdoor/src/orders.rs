//! Where decisions go. Whoever calls the director passes a writer of its own.

use crate::ids::{NodeId, SessId};

/// Takes decisions in the order in which they are to act.
pub trait Orders {
    /// Sets the rung of a session, before its SETUP or while it plays.
    fn set_rung(&mut self, sess: SessId, rung: u8);
    /// Sends a SETUP that is given up after `wait` seconds; `None` waits as long as the viewer does.
    fn send_setup(&mut self, sess: SessId, node: NodeId, wait: Option<f64>);
    /// Stops waiting for the SETUP of that number.
    fn withdraw(&mut self, sess: SessId, setup: u8);
    /// Final answer: not now; the viewer may come back after `come_back` seconds.
    fn reply_busy(&mut self, sess: SessId, come_back: Option<f64>);
    /// Final answer: it failed, and it may have run.
    fn reply_failed(&mut self, sess: SessId);
    /// Takes a playing session off its node; its viewer comes back to this director.
    fn shift(&mut self, sess: SessId);
    /// Asks the list of nodes for changes from now on, or to stop sending them.
    fn subscribe(&mut self, on: bool);
    /// Asks for the whole list of nodes once.
    fn fetch_list(&mut self);
    /// Asks a node whether it lives.
    fn probe(&mut self, node: NodeId);
    /// Closes idle connections to a node.
    fn close_idle_connections(&mut self, node: NodeId);
    /// Sends a message to another director, or to all of them.
    fn send_message(&mut self, director: Option<u16>, message: &[u8]);
    /// Adds a line to the report.
    fn log(&mut self, line: &str);
    /// Says that the caller's decisions can no longer be trusted.
    fn report_fault(&mut self, why: &str);
    /// Calls the director again after that many seconds, even if nothing comes in.
    fn wake_after(&mut self, after: f64);
}
