//! A director's bookkeeping: what is counted where. Nothing is decided here.

use crate::decide::Director;
use crate::ids::{NodeId, SessId};
use crate::round::Phase;
use crate::state::{Nodes, Sess};

impl Director {
    /// A node's share in thousandths; 0 for one that is not listed.
    pub fn share(&self, node: NodeId) -> f64 {
        self.nodes.index.get(&node).map_or(0.0, |&i| self.nodes.share[i])
    }

    pub(crate) fn new_node(&mut self, id: NodeId) -> usize {
        let i = self.nodes.add(id);
        self.nodes.gap_mean[i] = self.figures.told_every;
        self.ledger.clear(self.link(i), self.figures.link_unit);
        i
    }

    pub(crate) fn listed(&self) -> Vec<usize> {
        self.nodes.index.values().copied().filter(|&i| self.nodes.phase[i] != Phase::Gone).collect()
    }

    pub(crate) fn rack(&self, i: usize) -> usize {
        self.nodes.cell[i] as usize % self.figures.racks
    }

    pub(crate) fn link(&self, i: usize) -> usize {
        self.figures.racks + 1 + i
    }

    /// Where the ledger counts the fleet as a whole.
    pub(crate) fn fleet(&self) -> usize {
        self.figures.racks
    }

    /// All uplinks, then the links of the given nodes.
    pub(crate) fn links(&self, nodes: &[usize]) -> Vec<usize> {
        (0..self.figures.racks).chain(nodes.iter().map(|&i| self.link(i))).collect()
    }

    fn rate(&self, s: &Sess) -> f64 {
        self.figures.groups[s.ask.group.0 as usize].kb[s.rung as usize]
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
        let (i, group, title, kb) = (s.node, s.ask.group.0, s.ask.title, self.rate(s));
        self.nodes.streams[i] += 1.0;
        *self.seats.entry((title, group)).or_default() += 1;
        self.count(now, i, kb);
    }

    pub(crate) fn release(&mut self, now: f64, sess: SessId) {
        let s = &self.sess[&sess];
        let (i, group, title, kb) = (s.node, s.ask.group.0, s.ask.title, self.rate(s));
        self.nodes.streams[i] -= 1.0;
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
        let Some(s) = self.sess.get_mut(&sess) else { return };
        let kb = &self.figures.groups[s.ask.group.0 as usize].kb;
        let rung = rung.min(kb.len() as u8 - 1);
        let (i, more) = (s.node, kb[rung as usize] - kb[s.rung as usize]);
        s.rung = rung;
        self.count(now, i, more);
    }

    /// Gives up the index of each node that is gone and holds nothing of ours.
    pub(crate) fn forget_gone(&mut self) {
        let Nodes { index, phase, streams, .. } = &mut self.nodes;
        index.retain(|_, i| phase[*i] != Phase::Gone || streams[*i] > 0.5);
    }
}
