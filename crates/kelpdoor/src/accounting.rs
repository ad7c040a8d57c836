//! A director's bookkeeping: what is counted where. Nothing is decided here.

use std::collections::BTreeSet;

use crate::decide::Director;
use crate::ids::{NodeId, SessId};
use crate::round::{ListedNode, NewSession, Phase};
use crate::state::{Nodes, Sess, Stage};

impl Director {
    /// A node's share in thousandths; 0 for one that is not listed.
    pub fn share(&self, node: NodeId) -> f64 {
        self.nodes.index.get(&node).map_or(0.0, |&i| self.nodes.share[i])
    }

    /// What is asked of a node's link and of its rack's uplink over what they give, as it is believed; `None` for a node
    /// that is not known.
    pub fn fullness(&self, node: NodeId) -> Option<(f64, f64)> {
        let i = *self.nodes.index.get(&node)?;
        let full = |l: usize| self.asked(l) / self.ledger.size[l].max(1e-9);
        Some((full(self.link(i)), full(self.rack(i))))
    }

    pub(crate) fn new_node(&mut self, id: NodeId) -> usize {
        let i = self.nodes.add(id);
        self.nodes.gap_mean[i] = self.terms.told_every;
        self.ledger.clear(self.link(i), self.terms.link_unit);
        i
    }

    pub(crate) fn rack(&self, i: usize) -> usize {
        self.nodes.cell[i] as usize % self.terms.racks
    }

    pub(crate) fn link(&self, i: usize) -> usize {
        self.terms.racks + 1 + i
    }

    /// Where the ledger counts the fleet as a whole.
    pub(crate) fn fleet(&self) -> usize {
        self.terms.racks
    }

    /// Whether sessions of ours are at a node, SETUPs included.
    pub(crate) fn holds(&self, i: usize) -> bool {
        self.nodes.streams[i] >= 1.0
    }

    /// Listed nodes with sessions of ours.
    pub(crate) fn held(&self) -> Vec<usize> {
        self.nodes.listed.iter().copied().filter(|&i| self.holds(i)).collect()
    }

    /// The uplinks, then the links, of the given nodes.
    pub(crate) fn held_links(&self, held: &[usize]) -> Vec<usize> {
        let racks: BTreeSet<usize> = held.iter().map(|&i| self.rack(i)).collect();
        racks.into_iter().chain(held.iter().map(|&i| self.link(i))).collect()
    }

    /// Indexes the nodes that are listed now, also by rack, and sums their sizes.
    pub(crate) fn relist(&mut self) {
        let Nodes { index, phase, .. } = &self.nodes;
        let listed: Vec<usize> = index.values().copied().filter(|&i| phase[i] != Phase::Gone).collect();
        let mut by_rack = vec![Vec::new(); self.terms.racks];
        listed.iter().for_each(|&i| by_rack[self.rack(i)].push(i));
        self.nodes.size_sum = listed.iter().map(|&i| self.nodes.size[i]).sum();
        let fleet = self.fleet();
        self.ledger.size[fleet] = listed.iter().map(|&i| self.ledger.size[self.link(i)]).sum();
        (self.nodes.listed, self.nodes.by_rack) = (listed, by_rack);
    }

    /// Copies what a line of the list tells of a node that has an index.
    pub(crate) fn copy_line(&mut self, i: usize, line: &ListedNode, new: bool) {
        let l = self.link(i);
        let (n, f) = (&mut self.nodes, &self.terms);
        n.zone[i] = line.zone;
        n.cell[i] = line.cell;
        n.size[i] = line.size.max(1e-3);
        n.places[i] = f.places.get(line.kind as usize).copied().unwrap_or(f64::MAX);
        let size = f.link_unit * n.size[i];
        if new {
            self.ledger.size[l] = size;
        }
        self.ledger.listed[l] = size;
    }

    /// Link-size share of a node, in thousandths.
    pub(crate) fn base_share(&self, i: usize) -> f64 {
        1000.0 * self.nodes.size[i] / self.nodes.size_sum
    }

    /// Nothing of the others' is at a node as of now.
    pub(crate) fn emptied(&mut self, now: f64, i: usize) {
        let l = self.link(i);
        (self.ledger.others[l], self.ledger.read_at[l]) = (0.0, now);
        self.nodes.other_streams[i] = 0.0;
    }

    /// Whether a node is taken for just started only for want of news.
    pub(crate) fn doubted(&self, i: usize) -> bool {
        self.nodes.cold_since[i] == f64::INFINITY && self.nodes.cold_until[i] < f64::INFINITY
    }

    /// How full links, or uplinks, were of late as far as we read them.
    pub(crate) fn common(&self, l: usize) -> f64 {
        self.common[usize::from(l < self.terms.racks)]
    }

    /// Takes in a session that was under way at our start.
    pub(crate) fn adopt(&mut self, now: f64, ask: &NewSession, node: NodeId) {
        let i = self.nodes.index.get(&node).copied().unwrap_or_else(|| self.new_node(node));
        let mut sess = Sess::new(ask, now, self.terms.groups[ask.group.0 as usize].floor, 0.0);
        (sess.stage, sess.node) = (Stage::Playing { since: f64::NEG_INFINITY }, i);
        sess.changed_at = f64::NEG_INFINITY;
        self.sess.insert(ask.sess, sess);
        self.hold(now, ask.sess);
        self.nodes.noted_at[i] = now + self.terms.seen_after;
    }

    /// Whether another viewer of ours has that title at a node, in that group and at that rung, whose stream is shared.
    pub(crate) fn joins(&self, i: usize, ask: &NewSession, rung: u8) -> bool {
        self.shared.contains_key(&(i, ask.title, ask.group.0, rung))
    }

    /// Counts a session's stream in at its node; what it adds.
    fn enter(&mut self, sess: SessId) -> f64 {
        let s = &self.sess[&sess];
        let (i, rung, group) = (s.node, s.rung, &self.terms.groups[s.ask.group.0 as usize]);
        let kb = group.kb[rung as usize];
        let joins = self.joins(i, &s.ask, rung);
        if group.join < 1.0 {
            *self.shared.entry((i, s.ask.title, s.ask.group.0, rung)).or_default() += 1;
        }
        self.nodes.streams[i] += f64::from(u8::from(!joins));
        if joins { kb * group.join } else { kb }
    }

    /// Counts a session's stream out again; what it took, which is its viewer's part while others share it.
    fn leave(&mut self, sess: SessId) -> f64 {
        let s = &self.sess[&sess];
        let (i, group) = (s.node, &self.terms.groups[s.ask.group.0 as usize]);
        let kb = group.kb[s.rung as usize];
        let key = (i, s.ask.title, s.ask.group.0, s.rung);
        if let Some(viewers) = self.shared.get_mut(&key).filter(|v| **v > 1) {
            *viewers -= 1;
            return kb * group.join;
        }
        self.shared.remove(&key);
        self.nodes.streams[i] -= 1.0;
        kb
    }

    /// Counts a session's rate in or out at its node.
    pub(crate) fn count(&mut self, now: f64, i: usize, kb: f64) {
        let (l, r) = (self.link(i), self.rack(i));
        self.ledger.add(now, l, kb);
        self.ledger.add(now, r, kb);
        self.ledger.add(now, self.fleet(), kb);
    }

    /// Counts a session in at its node: rate, place and seat.
    pub(crate) fn hold(&mut self, now: f64, sess: SessId) {
        let s = &self.sess[&sess];
        let (i, group, title) = (s.node, s.ask.group.0, s.ask.title);
        let kb = self.enter(sess);
        *self.seats.entry((title, group)).or_default() += 1;
        self.count(now, i, kb);
    }

    pub(crate) fn release(&mut self, now: f64, sess: SessId) {
        let s = &self.sess[&sess];
        let (i, group, title) = (s.node, s.ask.group.0, s.ask.title);
        let kb = self.leave(sess);
        if let Some(held) = self.seats.get_mut(&(title, group)) {
            *held -= 1;
            if *held == 0 {
                self.seats.remove(&(title, group));
            }
        }
        self.count(now, i, -kb);
    }

    /// Counts a session at another rung.
    pub(crate) fn recount(&mut self, now: f64, sess: SessId, rung: u8) {
        // Without a SETUP out it is at no node, and nothing of it is counted.
        let Some((i, g)) =
            self.sess.get(&sess).filter(|s| s.stage != Stage::Owed).map(|s| (s.node, s.ask.group))
        else {
            return;
        };
        let before = self.leave(sess);
        let rungs = self.terms.groups[g.0 as usize].kb.len();
        if let Some(s) = self.sess.get_mut(&sess) {
            s.rung = rung.min(rungs as u8 - 1);
        }
        let after = self.enter(sess);
        self.count(now, i, after - before);
    }

    /// Gives up the index of each node that is gone and holds nothing of ours.
    pub(crate) fn forget_gone(&mut self) {
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
