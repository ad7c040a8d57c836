//! Accounting of sessions, streams, seats and link loads. This module decides nothing.

use std::collections::BTreeSet;

use crate::decide::Director;
use crate::ids::{NodeId, SessId};
use crate::round::{ListedNode, NewSession, Phase};
use crate::state::{Nodes, Session, Stage};

impl Director {
    /// The share of new sessions that a node gets, in thousandths; 0 for a node that is not listed.
    pub fn share(&self, node: NodeId) -> f64 {
        self.nodes.index.get(&node).map_or(0.0, |&i| self.nodes.share[i])
    }

    /// The estimated demand over capacity of a node's link and of its rack's uplink; `None` for an unknown
    /// node.
    pub fn fullness(&self, node: NodeId) -> Option<(f64, f64)> {
        let i = *self.nodes.index.get(&node)?;
        let full = |l: usize| self.demand(l) / self.links.capacity[l].max(1e-9);
        Some((full(self.link(i)), full(self.rack(i))))
    }

    pub(crate) fn add_node(&mut self, id: NodeId) -> usize {
        let i = self.nodes.add(id);
        self.nodes.gap_mean[i] = self.terms.told_every;
        self.links.reset(self.link(i), self.terms.link_unit);
        i
    }

    /// Index of a node's rack, which is also the index of its uplink.
    pub(crate) fn rack(&self, i: usize) -> usize {
        self.nodes.cell[i] as usize % self.terms.racks
    }

    /// Index of a node's link.
    pub(crate) fn link(&self, i: usize) -> usize {
        self.terms.racks + 1 + i
    }

    /// Index of the sum over all links.
    pub(crate) fn fleet(&self) -> usize {
        self.terms.racks
    }

    /// Whether this director has sessions at a node, SETUPs in flight included.
    pub(crate) fn has_sessions(&self, i: usize) -> bool {
        self.nodes.streams[i] >= 1.0
    }

    /// Listed nodes with sessions of this director.
    pub(crate) fn nodes_with_sessions(&self) -> Vec<usize> {
        self.nodes.listed.iter().copied().filter(|&i| self.has_sessions(i)).collect()
    }

    /// The uplinks, then the links, of the given nodes.
    pub(crate) fn links_of(&self, nodes: &[usize]) -> Vec<usize> {
        let racks: BTreeSet<usize> = nodes.iter().map(|&i| self.rack(i)).collect();
        racks.into_iter().chain(nodes.iter().map(|&i| self.link(i))).collect()
    }

    /// Rebuilds the indices of listed nodes, also by rack, and the sums of sizes and capacities.
    pub(crate) fn refresh_listed(&mut self) {
        let Nodes { index, phase, .. } = &self.nodes;
        let listed: Vec<usize> = index.values().copied().filter(|&i| phase[i] != Phase::Gone).collect();
        let mut by_rack = vec![Vec::new(); self.terms.racks];
        listed.iter().for_each(|&i| by_rack[self.rack(i)].push(i));
        self.nodes.total_size = listed.iter().map(|&i| self.nodes.size[i]).sum();
        let fleet = self.fleet();
        self.links.capacity[fleet] = listed.iter().map(|&i| self.links.capacity[self.link(i)]).sum();
        (self.nodes.listed, self.nodes.by_rack) = (listed, by_rack);
    }

    /// Copies an entry of the node list to the node with index `i`.
    pub(crate) fn copy_listed(&mut self, i: usize, listing: &ListedNode, new: bool) {
        let l = self.link(i);
        let (n, terms) = (&mut self.nodes, &self.terms);
        n.zone[i] = listing.zone;
        n.cell[i] = listing.cell;
        n.size[i] = listing.size.max(1e-3);
        n.places[i] = terms.places.get(listing.kind as usize).copied().unwrap_or(f64::MAX);
        let capacity = terms.link_unit * n.size[i];
        if new {
            self.links.capacity[l] = capacity;
        }
        self.links.listed_capacity[l] = capacity;
    }

    /// A node's share by size alone, in thousandths.
    pub(crate) fn base_share(&self, i: usize) -> f64 {
        1000.0 * self.nodes.size[i] / self.nodes.total_size
    }

    /// Records that a node carries no sessions of other directors as of now.
    pub(crate) fn clear_others(&mut self, now: f64, i: usize) {
        let l = self.link(i);
        (self.links.others[l], self.links.measured_at[l]) = (0.0, now);
        self.nodes.other_streams[i] = 0.0;
    }

    /// Whether a node counts as just started only because its real start is unknown.
    pub(crate) fn is_presumed_cold(&self, i: usize) -> bool {
        self.nodes.cold_since[i] == f64::INFINITY && self.nodes.cold_until[i] < f64::INFINITY
    }

    /// The recent mean fullness of links, or of uplinks if `l` is one, over all measurements.
    pub(crate) fn mean_fill(&self, l: usize) -> f64 {
        self.mean_fill[usize::from(l < self.terms.racks)]
    }

    /// Adds a session that played before this director started.
    pub(crate) fn add_handed_over(&mut self, now: f64, request: &NewSession, node: NodeId) {
        let i = self.nodes.index.get(&node).copied().unwrap_or_else(|| self.add_node(node));
        let mut session = Session::new(request, now, self.terms.groups[request.group.0 as usize].floor, 0.0);
        (session.stage, session.node) = (Stage::Playing { since: f64::NEG_INFINITY }, i);
        session.changed_at = f64::NEG_INFINITY;
        self.sessions.insert(request.sess, session);
        self.acquire(now, request.sess);
        self.nodes.notified_at[i] = now + self.terms.seen_after;
    }

    /// Whether this director has a shared stream of that title at a node, in that group and at that rung.
    pub(crate) fn joins_stream(&self, i: usize, request: &NewSession, rung: u8) -> bool {
        self.shared_streams.contains_key(&(i, request.title, request.group.0, rung))
    }

    /// Adds a session's stream at its node; returns the rate that it adds.
    fn add_stream(&mut self, sess: SessId) -> f64 {
        let s = &self.sessions[&sess];
        let (i, rung, group) = (s.node, s.rung, &self.terms.groups[s.request.group.0 as usize]);
        let kb = group.rates[rung as usize];
        let joins = self.joins_stream(i, &s.request, rung);
        if group.join < 1.0 {
            *self.shared_streams.entry((i, s.request.title, s.request.group.0, rung)).or_default() += 1;
        }
        self.nodes.streams[i] += f64::from(u8::from(!joins));
        if joins { kb * group.join } else { kb }
    }

    /// Removes a session's stream from its node; returns the rate that it frees, which is the viewer's part
    /// while others share the stream.
    fn remove_stream(&mut self, sess: SessId) -> f64 {
        let s = &self.sessions[&sess];
        let (i, group) = (s.node, &self.terms.groups[s.request.group.0 as usize]);
        let kb = group.rates[s.rung as usize];
        let key = (i, s.request.title, s.request.group.0, s.rung);
        if let Some(viewers) = self.shared_streams.get_mut(&key).filter(|v| **v > 1) {
            *viewers -= 1;
            return kb * group.join;
        }
        self.shared_streams.remove(&key);
        self.nodes.streams[i] -= 1.0;
        kb
    }

    /// Adds a rate to a node's link, its rack's uplink and the sum over all links.
    pub(crate) fn add_load(&mut self, now: f64, i: usize, kb: f64) {
        let (l, r) = (self.link(i), self.rack(i));
        self.links.add(now, l, kb);
        self.links.add(now, r, kb);
        self.links.add(now, self.fleet(), kb);
    }

    /// Counts a session at its node: stream, seat and rate.
    pub(crate) fn acquire(&mut self, now: f64, sess: SessId) {
        let s = &self.sessions[&sess];
        let (i, group, title) = (s.node, s.request.group.0, s.request.title);
        let kb = self.add_stream(sess);
        *self.seats.entry((title, group)).or_default() += 1;
        self.add_load(now, i, kb);
    }

    /// Reverts [`Director::acquire`].
    pub(crate) fn release(&mut self, now: f64, sess: SessId) {
        let s = &self.sessions[&sess];
        let (i, group, title) = (s.node, s.request.group.0, s.request.title);
        let kb = self.remove_stream(sess);
        if let Some(held) = self.seats.get_mut(&(title, group)) {
            *held -= 1;
            if *held == 0 {
                self.seats.remove(&(title, group));
            }
        }
        self.add_load(now, i, -kb);
    }

    /// Changes the rung that a session is counted at.
    pub(crate) fn recount(&mut self, now: f64, sess: SessId, rung: u8) {
        // A pending session is at no node and not counted.
        let Some((i, g)) =
            self.sessions.get(&sess).filter(|s| s.stage != Stage::Pending).map(|s| (s.node, s.request.group))
        else {
            return;
        };
        let before = self.remove_stream(sess);
        let rungs = self.terms.groups[g.0 as usize].rates.len();
        if let Some(s) = self.sessions.get_mut(&sess) {
            s.rung = rung.min(rungs as u8 - 1);
        }
        let after = self.add_stream(sess);
        self.add_load(now, i, after - before);
    }

    /// Frees the index of each node that is no longer listed and has no session of this director.
    pub(crate) fn remove_gone_nodes(&mut self) {
        let Nodes { index, phase, streams, free, .. } = &mut self.nodes;
        index.retain(|_, i| {
            let keep = phase[*i] != Phase::Gone || streams[*i] > 0.5;
            if !keep {
                free.push(*i);
            }
            keep
        });
    }
}
