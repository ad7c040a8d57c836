//! Connections to media nodes, and the messages that wait for them.

use std::collections::BTreeSet;

use kelpdoor::ids::{NodeId, SessId};
use kelpdoor::round::{LoadReport, Phase, SetupOutcome};

use super::{
    CANCELLED_SETUP_TTL, ConnectFailure, CoreState, Effect, Link, MAX_LINKS_PER_NODE, MAX_PENDING_PER_NODE,
    PendingMessage, SPARE_LINK_IDLE, Stage, UNUSED_LINK_IDLE,
};
use crate::incarnations::Epoch;
use crate::media;

impl CoreState {
    pub(super) fn open_link(&mut self, node: NodeId) -> Option<u64> {
        let n = self.nodes.get_mut(&node)?;
        if self.node_by_address.get(&n.address) != Some(&node) {
            return None;
        }
        n.liveness.record_attempt(self.now);
        let (link, address) = (self.next_link_id, n.address);
        self.next_link_id += 1;
        n.links.insert(link);
        let (last_used, pending_setups) = (self.now, BTreeSet::new());
        let new_link = Link {
            node,
            connected: false,
            connected_at: self.now,
            epoch: Epoch::default(),
            pending_setups,
            carried_setup: false,
            last_used,
            draining: false,
            unresponsive: false,
            closing: false,
        };
        self.links.insert(link, new_link);
        self.effects.push(Effect::ConnectLink { link, address });
        Some(link)
    }

    /// Whether another link may be opened, if necessary by closing an idle one.
    pub(super) fn make_room_for_link(&mut self) -> bool {
        if self.links.len() - self.closing_links < self.max_links {
            return true;
        }
        // Prefers a spare link over the only one to a node with active sessions.
        let is_only_link = |l: &Link| {
            self.nodes.get(&l.node).is_some_and(|n| n.links.len() == 1 && !n.active_sessions.is_empty())
        };
        let idle = self.links.iter().filter(|(_, l)| l.connected && l.pending_setups.is_empty());
        let first = idle.min_by(|(_, a), (_, b)| {
            is_only_link(a).cmp(&is_only_link(b)).then(a.last_used.total_cmp(&b.last_used))
        });
        let Some((&link, _)) = first else { return false };
        self.close_link(link, false);
        true
    }

    /// Selects the link for a SETUP: an idle one, else a new one, else the one with the fewest pending
    /// SETUPs, so that a failing link affects few of them. Among equal ones, one to the process that was proven
    /// to run last.
    pub(super) fn select_link(&mut self, node: NodeId) -> Option<u64> {
        let n = self.nodes.get(&node)?;
        let stale = |l: &Link| {
            l.connected && l.pending_setups.is_empty() && self.now - l.last_used >= self.max_link_idle
        };
        let links = n.links.iter().filter_map(|l| Some((*l, self.links.get(l)?)));
        let usable = links.filter(|(_, l)| !l.draining && !stale(l));
        let best = usable
            .min_by(|(_, a), (_, b)| {
                let load = |l: &Link| (l.pending_setups.len(), !l.connected);
                let proven_at = |l: &Link| n.incarnations.proven_at(l.epoch);
                load(a).cmp(&load(b)).then(proven_at(b).total_cmp(&proven_at(a)))
            })
            .map(|(l, link)| (l, link.pending_setups.len()));
        let usable_count = n.links.iter().filter_map(|l| self.links.get(l)).filter(|l| !stale(l)).count();
        let max_per_node = (self.max_links / self.nodes.len().max(1)).clamp(1, MAX_LINKS_PER_NODE);
        match best {
            Some((link, 0)) => Some(link),
            Some((link, _)) if usable_count >= max_per_node => Some(link),
            best => {
                let new = if self.make_room_for_link() { self.open_link(node) } else { None };
                new.or(best.map(|b| b.0))
            }
        }
    }

    /// The link for messages to a node, to the process that was proven to run last.
    pub(super) fn connected_link(&self, node: NodeId) -> Option<u64> {
        let n = self.nodes.get(&node)?;
        let links = n.links.iter().filter_map(|link| Some((*link, self.links.get(link)?)));
        let usable = links.filter(|(_, l)| l.connected && !l.draining);
        let proven_at = |l: &Link| n.incarnations.proven_at(l.epoch);
        usable.min_by(|(_, a), (_, b)| proven_at(b).total_cmp(&proven_at(a))).map(|(link, _)| link)
    }

    pub(super) fn send_or_queue(&mut self, node: NodeId, message: PendingMessage) {
        if let Some(link) = self.connected_link(node) {
            return self.send_pending(link, message);
        }
        let now = self.now;
        let Some(n) = self.nodes.get_mut(&node) else { return };
        // A queued rung change is sent with the rung at that time, so one entry is enough.
        let queued =
            matches!(message, PendingMessage::Rung(_)) && n.pending.iter().any(|(_, o)| *o == message);
        if queued {
            return;
        }
        if n.pending.len() >= MAX_PENDING_PER_NODE {
            // A session at an outdated rung costs less than one that plays for nobody, so a rung change is
            // dropped first.
            let rung = n.pending.iter().position(|(_, o)| matches!(o, PendingMessage::Rung(_)));
            n.pending.remove(rung.unwrap_or(0));
        }
        n.pending.push_back((now, message));
    }

    pub(super) fn send_pending(&mut self, link: u64, message: PendingMessage) {
        let bytes = match message {
            PendingMessage::Release(sess, why) => media::teardown(sess, why),
            PendingMessage::Rung(sess) => match self.sessions.get(&sess) {
                Some(s) if s.stage == Stage::Active => media::set_rung(sess, s.rung),
                _ => return,
            },
        };
        self.effects.push(Effect::SendNode { link, bytes });
    }

    pub(super) fn link_connected(&mut self, link: u64) {
        let Some(l) = self.links.get(&link).filter(|l| !l.closing) else { return };
        let (node, waiting) = (l.node, l.pending_setups.clone());
        if self.nodes.get(&node).is_some_and(|n| self.node_by_address.get(&n.address) != Some(&node)) {
            // The address was reassigned to another node while the link was opening.
            for sess in waiting {
                self.finish_setup(sess, SetupOutcome::NeverSent, LoadReport::default());
            }
            return self.close_link(link, true);
        }
        let epoch = self.begin_epoch(node);
        if let Some(l) = self.links.get_mut(&link) {
            (l.connected, l.connected_at, l.last_used, l.epoch) = (true, self.now, self.now, epoch);
        }
        let Some(n) = self.nodes.get_mut(&node) else { return };
        n.liveness.record_contact(self.now);
        let (pending, in_doubt) = (std::mem::take(&mut n.pending), std::mem::take(&mut n.in_doubt));
        waiting.into_iter().for_each(|sess| self.send_setup(sess));
        pending.into_iter().for_each(|(_, message)| self.send_pending(link, message));
        // A process runs there, the same or a new one: whether their SETUPs ran is unknown.
        in_doubt.into_iter().for_each(|sess| self.abandon_setup(sess, SetupOutcome::Withdrawn));
    }

    pub(super) fn record_cancelled_setup(&mut self, sess: SessId, node: NodeId) {
        let until = self.sessions.get(&sess).map_or(self.now, |s| s.setup_deadline.max(self.now))
            + CANCELLED_SETUP_TTL;
        self.cancelled_setups.insert((sess, node), until);
    }

    pub(super) fn link_failed(&mut self, link: u64, failure: ConnectFailure, why: String) {
        let Some(l) = self.links.remove(&link) else { return };
        if l.closing {
            self.closing_links -= 1;
            return;
        }
        if let Some(n) = self.nodes.get_mut(&l.node) {
            n.links.remove(&link);
        }
        let outcome = if failure == ConnectFailure::LocalResources {
            SetupOutcome::NeverSent
        } else {
            SetupOutcome::Unreachable
        };
        l.pending_setups.into_iter().for_each(|sess| self.finish_setup(sess, outcome, LoadReport::default()));
        if failure != ConnectFailure::LocalResources {
            self.connect_failed(l.node, failure == ConnectFailure::Refused, why);
        }
    }

    /// A link closed. Active sessions continue; the outcome of its pending SETUPs depends on whether the node
    /// is alive.
    pub(super) fn link_disconnected(&mut self, link: u64) {
        let Some(l) = self.links.remove(&link) else { return };
        if l.closing {
            self.closing_links -= 1;
            return;
        }
        let Some(n) = self.nodes.get_mut(&l.node) else { return };
        n.links.remove(&link);
        n.incarnations.connection_lost();
        for sess in l.pending_setups {
            if let Some(s) = self.sessions.get_mut(&sess) {
                s.stage = Stage::InDoubt;
                n.in_doubt.insert(sess);
            }
        }
        self.reconnect_node(l.node);
    }

    pub(super) fn link_corrupted(&mut self, link: u64, why: &str) {
        let Some(l) = self.links.get_mut(&link) else { return };
        // The node is alive, but its answers to the pending SETUPs are lost, and they may have run.
        let (node, pending_setups) = (l.node, std::mem::take(&mut l.pending_setups));
        let name = self.nodes.get(&node).map_or("", |n| &n.name);
        let text =
            format!("{name}: corrupted connection with {} pending SETUPs: {why}", pending_setups.len());
        self.push_log(text);
        self.close_link(link, false);
        self.reconnect_node(node);
        pending_setups.into_iter().for_each(|sess| self.abandon_setup(sess, SetupOutcome::Withdrawn));
    }

    /// Idle links that are not needed, or that the node is about to close. One is kept to each listed node, and one
    /// to each incarnation with active sessions, the earliest, as a message on it confirms them.
    pub(super) fn surplus_links(&self, id: NodeId, needed: bool) -> Vec<u64> {
        let Some(n) = self.nodes.get(&id) else { return Vec::new() };
        let links = n.links.iter().filter_map(|link| Some((*link, self.links.get(link)?)));
        let connected: Vec<_> = links.filter(|(_, l)| l.connected).collect();
        let mut kept: Vec<(u64, Epoch)> = Vec::new();
        for (link, l) in &connected {
            let is_confirmed_elsewhere =
                kept.iter().any(|(_, epoch)| n.incarnations.is_same(*epoch, l.epoch));
            if n.incarnations.has_sessions(l.epoch) && !is_confirmed_elsewhere {
                kept.push((*link, l.epoch));
            }
        }
        if kept.is_empty() && (n.phase != Phase::Gone || needed) {
            kept.extend(connected.last().map(|(link, l)| (*link, l.epoch)));
        }
        let is_surplus = |(link, l): &(u64, &Link)| {
            let idle_for = self.now - l.last_used;
            let is_kept = kept.iter().any(|(kept, _)| kept == link) && idle_for < self.max_link_idle;
            let is_newest = connected.last().is_some_and(|(newest, _)| newest == link);
            let is_redundant =
                !is_newest || kept.iter().any(|(_, epoch)| n.incarnations.is_same(*epoch, l.epoch));
            let max_idle = if is_redundant && !l.carried_setup { UNUSED_LINK_IDLE } else { SPARE_LINK_IDLE };
            l.pending_setups.is_empty() && idle_for >= max_idle && !is_kept
        };
        connected.iter().filter(|link| is_surplus(link)).map(|(link, _)| *link).collect()
    }

    /// Begins the epoch of a link to a node that just connected.
    pub(super) fn begin_epoch(&mut self, node: NodeId) -> Epoch {
        let Some(n) = self.nodes.get_mut(&node) else { return Epoch::default() };
        let is_connected = |link: &u64| self.links.get(link).filter(|l| l.connected).map(|l| l.epoch);
        let open: Vec<Epoch> = n.links.iter().filter_map(is_connected).collect();
        n.incarnations.prune(&open);
        let was_failing = n.liveness.is_failing();
        let epoch = n.incarnations.connection_opened(self.now, was_failing);
        let unconfirmed = n.incarnations.sessions_unconfirmed_since(self.now);
        if was_failing && unconfirmed > 0 {
            let text = format!("{} can be reached again; {unconfirmed} sessions are not confirmed", n.name);
            self.push_log(text);
        }
        epoch
    }
}
