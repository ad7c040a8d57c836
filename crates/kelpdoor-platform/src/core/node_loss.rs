//! Detects that a media node was lost, and ends its sessions.

use kelpdoor::ids::NodeId;
use kelpdoor::round::{LoadReport, Phase, SetupOutcome};

use super::{CoreState, PENDING_TTL, PendingMessage, SPARE_LINK_IDLE};
use crate::core::Effect;
use crate::liveness::RELEASE_RETRY_INTERVAL;
use crate::viewer::cause;

impl CoreState {
    pub(super) fn check_node(&mut self, id: NodeId) {
        let now = self.now;
        let connected = self.connected_link(id).is_some();
        let Some(n) = self.nodes.get_mut(&id) else { return };
        n.pending.retain(|(since, _)| now - since <= PENDING_TTL);
        let needed = !(n.active_sessions.is_empty() && n.in_doubt.is_empty() && n.pending.is_empty());
        let idle = |l: &&u64| {
            self.links.get(l).is_some_and(|l| {
                l.connected && l.pending_setups.is_empty() && now - l.last_used >= SPARE_LINK_IDLE
            })
        };
        let idle: Vec<u64> = n.links.iter().filter(idle).copied().collect();
        // One link stays open for active sessions.
        let stale = |l: &&u64| self.links.get(l).is_some_and(|l| now - l.last_used >= self.max_link_idle);
        let keep = usize::from(n.phase != Phase::Gone || needed);
        let connected_count =
            n.links.iter().filter(|l| self.links.get(l).is_some_and(|l| l.connected)).count();
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
        let surplus = idle.iter().filter(stale).count().max(connected_count.saturating_sub(keep));
        idle.into_iter().take(surplus).for_each(|link| self.close_link(link, false));
        if lost {
            self.end_node_sessions(id);
        }
        if should_connect {
            self.try_connect(id);
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
        let (links, sessions) = (std::mem::take(&mut n.links), std::mem::take(&mut n.active_sessions));
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
        for link in links {
            let Some(l) = self.links.remove(&link) else { continue };
            self.effects.push(Effect::CloseLink { link, immediate: true });
            l.pending_setups
                .into_iter()
                .for_each(|sess| self.abandon_setup(sess, SetupOutcome::ConnectionLost));
        }
        for sess in sessions {
            let Some(conn) = self.sessions.get(&sess).map(|s| s.conn) else { continue };
            self.end_session(sess, node, SetupOutcome::ConnectionLost, LoadReport::default());
            self.notify_end(sess, conn, cause::TEMPORARY_FAILURE);
            if !gone {
                // The node may only be cut off, with the sessions still active on it.
                self.send_or_queue(node, PendingMessage::Release(sess, cause::TEMPORARY_FAILURE));
            }
        }
    }
}
