//! The list of media nodes, as the change log reports it.

use std::collections::{BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use kelpdoor::ids::NodeId;
use kelpdoor::round::{ListChange, ListedNode, LoadReport, Phase, SetupOutcome};

use super::{CoreState, Node};
use crate::changes::{FleetChange, Host};
use crate::incarnations::Incarnations;
use crate::liveness::Liveness;

impl CoreState {
    /// Allocates the number of a new node from a hash of its id, so that it is the same at all directors
    /// regardless of the order in which they discover nodes: the session logic may use it in random draws. A collision takes
    /// the next free number. 0 means no node.
    pub(super) fn allocate_node_id(&self, id: &str) -> NodeId {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        let mut n = hasher.finish() as u32;
        while n == 0 || self.nodes.contains_key(&NodeId(n)) {
            n = n.wrapping_add(1);
        }
        NodeId(n)
    }

    pub(super) fn update_host(&mut self, host: &Host) -> Option<ListedNode> {
        let known = self.node_ids.get(&host.id).copied();
        if known.is_none() && host.phase == Phase::Gone {
            return None;
        }
        let id = known.unwrap_or_else(|| self.allocate_node_id(&host.id));
        let position = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let listed = ListedNode {
            node: id,
            zone: position(&self.names.zones, &host.zone).map_or(0, |i| i as u16),
            kind: position(&self.names.kinds, &host.kind).map_or(u8::MAX, |i| i as u8),
            cell: host.cell,
            phase: host.phase,
            size: host.size,
            up_since: host.up_since,
        };
        let now = self.now;
        let n = self.nodes.entry(id).or_insert_with(|| Node {
            name: host.id.clone(),
            address: host.address,
            phase: host.phase,
            listed,
            links: BTreeSet::new(),
            active_sessions: BTreeSet::new(),
            in_doubt: BTreeSet::new(),
            pending: VecDeque::new(),
            liveness: Liveness::new(now),
            incarnations: Incarnations::new(now),
            last_notification: now,
            last_connect_error: String::new(),
            reported_link_load: 0.0,
        });
        (n.phase, n.listed) = (host.phase, listed);
        if host.phase != Phase::Gone {
            let old = std::mem::replace(&mut n.address, host.address);
            if old != host.address {
                n.incarnations.address_changed();
                if self.node_by_address.get(&old) == Some(&id) {
                    self.node_by_address.remove(&old);
                }
            }
            self.node_by_address.insert(host.address, id);
        }
        self.node_ids.insert(host.id.clone(), id);
        Some(listed)
    }

    pub(super) fn apply_hosts(&mut self, change: &FleetChange) -> Vec<ListedNode> {
        if change.is_snapshot {
            let named: BTreeSet<&str> = change.hosts.iter().map(|h| h.id.as_str()).collect();
            for n in self.nodes.values_mut().filter(|n| !named.contains(n.name.as_str())) {
                (n.phase, n.listed.phase) = (Phase::Gone, Phase::Gone);
            }
        }
        change.hosts.iter().filter_map(|h| self.update_host(h)).collect()
    }

    /// Ends SETUPs, as never sent, that wait for a link to a node that begins to drain, leaves the list or
    /// restarts in this change. They were ordered with the earlier state, and the session logic places them again with
    /// the new one.
    pub(super) fn take_back_waiting_setups(&mut self, before: &[(NodeId, Phase, f64)]) {
        let stale = |&&(node, phase, up_since): &&(NodeId, Phase, f64)| {
            self.nodes.get(&node).is_some_and(|n| {
                (n.phase != phase && n.phase != Phase::Ready) || n.listed.up_since > up_since
            })
        };
        let stale: Vec<NodeId> = before.iter().filter(stale).map(|b| b.0).collect();
        for node in stale {
            let links = self.nodes.get(&node).map(|n| n.links.clone()).unwrap_or_default();
            for link in links {
                let Some(l) = self.links.get_mut(&link).filter(|l| !l.connected) else { continue };
                let waiting = std::mem::take(&mut l.pending_setups);
                waiting
                    .into_iter()
                    .for_each(|s| self.finish_setup(s, SetupOutcome::NeverSent, LoadReport::default()));
            }
        }
    }

    pub(super) fn handle_change(&mut self, change: &FleetChange) {
        let before: Vec<_> = self.nodes.iter().map(|(&id, n)| (id, n.phase, n.listed.up_since)).collect();
        let listed = self.apply_hosts(change);
        self.take_back_waiting_setups(&before);
        listed.iter().for_each(|l| self.end_sessions_before_restart(l.node, l.up_since));
        if change.is_snapshot {
            self.round.list_changes.push(ListChange::Whole(listed));
        } else if !listed.is_empty() {
            self.round.list_changes.push(ListChange::Changed(listed));
        }
    }

    /// Loads the list that was known before the start, which may be outdated.
    pub(super) fn load_known_changes(&mut self, changes: &[FleetChange]) {
        for change in changes {
            self.apply_hosts(change);
        }
        let listed = self.nodes.values().map(|n| n.listed).filter(|l| l.phase != Phase::Gone).collect();
        self.round.list_changes.push(ListChange::Cached(listed));
    }
}
