//! Detects that a media node was lost or that its process was replaced, and ends the sessions that it ran.
//!
//! Sessions end without a message from their node
//!
//! - when its process is gone or the node is out of reach for too long ([`Liveness::is_lost`]);
//! - when the change log reports a start later than their set-up;
//! - when the node can be reached, but nothing confirms the incarnation that runs them although notifications of
//!   other nodes arrive ([`Incarnations::is_overdue`]).
//!
//! [`Liveness::is_lost`]: crate::liveness::Liveness::is_lost
//! [`Incarnations::is_overdue`]: crate::incarnations::Incarnations::is_overdue

use std::collections::BTreeSet;

use kelpdoor::ids::{NodeId, SessId};
use kelpdoor::round::{LoadReport, Phase, SetupOutcome};

use super::{CoreState, Link, Node, PENDING_TTL, PendingMessage, Session, SessionEnd};
use crate::core::Effect;
use crate::incarnations::{Epoch, MIN_RESTART_TIME, ProofDeadlines};
use crate::liveness::{END_DEADLINE, RELEASE_RETRY_INTERVAL};
use crate::viewer::cause;

/// s; variation of the interval of a node's notifications.
const NOTIFICATION_JITTER: f64 = 0.5;

/// What becomes of the sessions at a node when they end.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Release {
    /// They ended with their process.
    None,
    /// Their process is reported to have ended, by a clock that may be wrong.
    IfConnected,
    /// They may still be active.
    WhenConnected,
}

impl CoreState {
    pub(super) fn check_node(&mut self, id: NodeId) {
        let now = self.now;
        let connected = self.connected_link(id).is_some();
        let Some(n) = self.nodes.get_mut(&id) else { return };
        n.pending.retain(|(since, _)| now - since <= PENDING_TTL);
        let needed = !(n.active_sessions.is_empty() && n.in_doubt.is_empty() && n.pending.is_empty());
        let (link_count, lost) = (n.links.len(), needed && n.liveness.is_lost(now));
        let in_use = !(n.active_sessions.is_empty() && n.in_doubt.is_empty());
        let should_connect = needed && n.liveness.should_connect(now, connected, in_use);
        if !needed && link_count == 0 && n.phase == Phase::Gone {
            if let Some(n) = self.nodes.remove(&id) {
                self.node_ids.remove(&n.name);
                if self.node_by_address.get(&n.address) == Some(&id) {
                    self.node_by_address.remove(&n.address);
                }
            }
            return;
        }
        let surplus = self.surplus_links(id, needed);
        surplus.into_iter().for_each(|link| self.close_link(link, false));
        if lost {
            self.end_node_sessions(id);
        }
        if should_connect {
            self.try_connect(id);
        }
    }

    /// s; a node with active sessions sends a notification within this time.
    pub(super) fn notification_window(&self) -> f64 {
        self.notification_interval + self.notification_delay + NOTIFICATION_JITTER
    }

    /// Whether notifications arrive from at least half of the nodes with active sessions. Otherwise they are
    /// missing altogether, and what a single node does not send proves nothing.
    pub(super) fn notifications_arrive(&self) -> bool {
        if self.notification_interval <= 0.0 {
            return false;
        }
        let since = self.now - self.notification_window();
        let active = || self.nodes.values().filter(|n| !n.active_sessions.is_empty());
        active().filter(|n| n.last_notification < since).count() * 2 <= active().count()
    }

    fn proof_deadlines(&self) -> ProofDeadlines {
        let window = self.notification_window();
        ProofDeadlines {
            restarts_are_listed: self.change_log_followed,
            since_proof: END_DEADLINE.max(window),
            since_outage: window,
        }
    }

    /// Ends sessions whose node can be reached but does not confirm the incarnation that runs them.
    pub(super) fn end_unconfirmed_sessions(&mut self, node: NodeId) {
        let (now, deadlines) = (self.now, self.proof_deadlines());
        let Some(n) = self.nodes.get(&node) else { return };
        if n.liveness.is_failing() || !n.incarnations.has_overdue(now, &deadlines) {
            return;
        }
        let is_overdue = |epoch: Epoch| n.incarnations.is_overdue(epoch, now, &deadlines);
        let sessions = self.active_sessions_where(n, |s| is_overdue(s.epoch));
        let links = self.links_where(n, |l| l.connected && is_overdue(l.epoch));
        let text = format!(
            "{} can be reached but did not confirm {} sessions in time: ended them",
            n.name,
            sessions.len()
        );
        self.push_log(text);
        self.drop_links(node, links, SetupOutcome::ConnectionLost);
        self.end_sessions(node, sessions, SetupOutcome::ConnectionLost, Release::WhenConnected);
    }

    /// Ends what an earlier process of a node ran, as the change log reports that a new one started at `up_since`.
    pub(super) fn end_sessions_before_restart(&mut self, node: NodeId, up_since: f64) {
        let ended_by = up_since - MIN_RESTART_TIME;
        let Some(n) = self.nodes.get(&node).filter(|_| ended_by > 0.0) else { return };
        let sessions = self.active_sessions_where(n, |s| s.setup_sent_at < ended_by);
        let links = self.links_where(n, |l| l.connected && l.connected_at < ended_by);
        if !sessions.is_empty() {
            let text = format!("{} was started anew: ended its {} earlier sessions", n.name, sessions.len());
            self.push_log(text);
        }
        // The list change that reports the start tells the session logic how to treat the node.
        self.drop_links(node, links, SetupOutcome::Withdrawn);
        self.end_sessions(node, sessions, SetupOutcome::Withdrawn, Release::IfConnected);
    }

    fn active_sessions_where(&self, n: &Node, matches: impl Fn(&Session) -> bool) -> Vec<SessId> {
        let is_match = |sess: &&SessId| self.sessions.get(sess).is_some_and(&matches);
        n.active_sessions.iter().filter(is_match).copied().collect()
    }

    fn links_where(&self, n: &Node, matches: impl Fn(&Link) -> bool) -> BTreeSet<u64> {
        n.links.iter().filter(|link| self.links.get(link).is_some_and(&matches)).copied().collect()
    }

    /// Closes links that lead to a process that is gone, with the given outcome for their pending SETUPs.
    fn drop_links(&mut self, node: NodeId, links: BTreeSet<u64>, outcome: SetupOutcome) {
        if let Some(n) = self.nodes.get_mut(&node) {
            n.links.retain(|link| !links.contains(link));
        }
        for link in links {
            let Some(l) = self.links.remove(&link) else { continue };
            self.effects.push(Effect::CloseLink { link, immediate: true });
            l.pending_setups.into_iter().for_each(|sess| self.abandon_setup(sess, outcome));
        }
    }

    /// Ends active sessions of a node without its word.
    fn end_sessions(&mut self, node: NodeId, sessions: Vec<SessId>, outcome: SetupOutcome, release: Release) {
        for sess in sessions {
            let Some(conn) = self.sessions.get(&sess).map(|s| s.conn) else { continue };
            self.record_end(sess);
            self.end_session(sess, node, outcome, LoadReport::default());
            self.report_end(SessionEnd { sess, cause: cause::TEMPORARY_FAILURE }, Some(conn));
            let connected = release == Release::IfConnected && self.connected_link(node).is_some();
            if connected || release == Release::WhenConnected {
                self.send_or_queue(node, PendingMessage::Release(sess, cause::TEMPORARY_FAILURE));
            }
        }
    }

    /// A link failed, and a release from the node may be lost with it. Nodes send pending releases again on
    /// the next new link.
    pub(super) fn reconnect_node(&mut self, node: NodeId) {
        if self.nodes.get(&node).is_some_and(|n| !(n.active_sessions.is_empty() && n.in_doubt.is_empty())) {
            self.try_connect(node);
        }
    }

    /// Opens a link to a node that may be lost, unless one is opening already.
    pub(super) fn try_connect(&mut self, node: NodeId) {
        if self
            .nodes
            .get(&node)
            .is_some_and(|n| n.links.iter().any(|l| self.links.get(l).is_some_and(|l| !l.connected)))
        {
            return;
        }
        if self.make_room_for_link() && self.open_link(node).is_none() {
            // Another node has its address now.
            if let Some(n) = self.nodes.get_mut(&node) {
                n.liveness.record_attempt(self.now);
            }
            self.connect_failed(node, true, "its address now belongs to another node".to_owned());
        }
    }

    /// A connection attempt to a node failed.
    pub(super) fn connect_failed(&mut self, node: NodeId, refused: bool, why: String) {
        let connected = self.connected_link(node).is_some();
        let Some(n) = self.nodes.get_mut(&node) else { return };
        // A node that is off the list and refuses connections is gone, even if links are still open.
        n.liveness.record_failure(self.now, refused, connected && n.phase != Phase::Gone);
        n.last_connect_error = why;
        // Their link was lost and no other opens: the node died while they were pending.
        let (in_doubt, lost) = (std::mem::take(&mut n.in_doubt), n.liveness.is_lost(self.now));
        if n.liveness.process_is_gone() {
            // Its sessions ended with the process.
            n.pending.clear();
        }
        in_doubt.into_iter().for_each(|sess| self.abandon_setup(sess, SetupOutcome::ConnectionLost));
        if lost {
            self.end_node_sessions(node);
        }
    }

    /// Ends all sessions of a node that can no longer be reached.
    pub(super) fn end_node_sessions(&mut self, node: NodeId) {
        let Some(n) = self.nodes.get_mut(&node) else { return };
        if n.active_sessions.is_empty() {
            return;
        }
        let (links, sessions) = (n.links.clone(), n.active_sessions.iter().copied().collect::<Vec<_>>());
        let gone = n.liveness.process_is_gone();
        // Pending releases cause connection attempts; without them only the next SETUP does.
        let again = if gone {
            "retried with the next SETUP to it".to_owned()
        } else {
            format!("retried every {RELEASE_RETRY_INTERVAL} s to release them")
        };
        let text = format!(
            "{} cannot be reached ({}): ended its {} sessions; {again}",
            n.name,
            n.last_connect_error,
            sessions.len()
        );
        self.push_log(text);
        self.drop_links(node, links, SetupOutcome::ConnectionLost);
        // A node that is out of reach may only be cut off, with the sessions still active on it.
        let release = if gone { Release::None } else { Release::WhenConnected };
        self.end_sessions(node, sessions, SetupOutcome::ConnectionLost, release);
    }
}
