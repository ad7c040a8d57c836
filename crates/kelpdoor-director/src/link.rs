//! A director's one connection to a node.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// What a request on the wire was for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asked {
    Options,
    Setup {
        sess: u64,
        pipe: u64,
    },
    Play {
        sess: u64,
        pipe: u64,
    },
    /// `was`: what it plays at if the node refuses.
    Rung {
        sess: u64,
        rung: u8,
        was: u8,
        /// Of those that went out under a lease, what the outbox gives back.
        name: u64,
    },
    Teardown {
        sess: u64,
    },
    /// `told`: the decisions asked for it.
    Probe {
        told: bool,
    },
}

impl Asked {
    /// The name of what may leave only under a lease, where rules are agreed.
    pub fn under_lease(&self) -> Option<u64> {
        match self {
            Asked::Setup { pipe: name, .. } | Asked::Play { pipe: name, .. } | Asked::Rung { name, .. } => {
                Some(*name)
            }
            Asked::Options | Asked::Teardown { .. } | Asked::Probe { .. } => None,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Line {
    Down,
    Dialling,
    Up,
}

#[derive(Clone, Debug)]
pub struct Link {
    pub address: SocketAddr,
    pub line: Line,
    /// Numbers the connection at hand; words of earlier ones are passed over.
    pub number: u64,
    pub cseq: u32,
    /// Requests out, by CSeq.
    pub out: BTreeMap<u32, Asked>,
    /// Sessions whose SETUP waits for the connection.
    pub waiting: Vec<u64>,
    pub sessions: BTreeSet<u64>,
    pub by_rtsp: BTreeMap<String, u64>,
    /// When its last word came.
    pub heard: f64,
    pub asked_at: f64,
    /// Failed connections in a row.
    pub failures: i32,
}

impl Link {
    pub fn new(address: SocketAddr) -> Self {
        Link {
            address,
            line: Line::Down,
            number: 0,
            cseq: 0,
            out: BTreeMap::new(),
            waiting: Vec::new(),
            sessions: BTreeSet::new(),
            by_rtsp: BTreeMap::new(),
            heard: 0.0,
            asked_at: 0.0,
            failures: 0,
        }
    }
}
