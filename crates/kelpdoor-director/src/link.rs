//! The connection of a director to a media node.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The purpose of an outstanding request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestPurpose {
    Options,
    Setup {
        sess: u64,
        batch: u64,
    },
    Play {
        sess: u64,
        batch: u64,
    },
    /// A change of rung. The session returns to rung `was` if the node refuses it.
    Rung {
        sess: u64,
        rung: u8,
        was: u8,
        /// The number that [`Input::Unsent`](crate::Input::Unsent) reports if the request is not sent.
        batch: u64,
    },
    Teardown {
        sess: u64,
    },
    /// `requested`: the placement logic ordered the probe and needs its result.
    Probe {
        requested: bool,
    },
}

impl RequestPurpose {
    /// The batch of a request that needs a valid lease if rules are agreed; `None` for other requests.
    pub fn lease_batch(&self) -> Option<u64> {
        match self {
            RequestPurpose::Setup { batch, .. }
            | RequestPurpose::Play { batch, .. }
            | RequestPurpose::Rung { batch, .. } => Some(*batch),
            RequestPurpose::Options | RequestPurpose::Teardown { .. } | RequestPurpose::Probe { .. } => None,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    Disconnected,
    Connecting,
    Connected,
}

/// A node's link. It outlives single connections. Times in seconds.
#[derive(Clone, Debug)]
pub struct Link {
    pub address: SocketAddr,
    pub connection: ConnectionState,
    /// Number of the current connection, 0 before the first. Events of earlier connections are ignored.
    pub number: u64,
    pub cseq: u32,
    /// Outstanding requests by CSeq.
    pub outstanding: BTreeMap<u32, RequestPurpose>,
    /// Sessions whose SETUP waits for the connection.
    pub waiting_setups: Vec<u64>,
    pub sessions: BTreeSet<u64>,
    pub sess_by_rtsp_id: BTreeMap<String, u64>,
    /// When the last event of the connection arrived.
    pub last_received_at: f64,
    pub last_probe_at: f64,
    /// Number of failed connections in a row.
    pub failures: i32,
}

impl Link {
    pub fn new(address: SocketAddr) -> Self {
        Link {
            address,
            connection: ConnectionState::Disconnected,
            number: 0,
            cseq: 0,
            outstanding: BTreeMap::new(),
            waiting_setups: Vec::new(),
            sessions: BTreeSet::new(),
            sess_by_rtsp_id: BTreeMap::new(),
            last_received_at: 0.0,
            last_probe_at: 0.0,
            failures: 0,
        }
    }
}
