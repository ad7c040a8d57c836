//! A fault-injecting TCP proxy between processes: one relay for each ordered pair of endpoints. Each direction can be
//! cut, delayed or limited in rate independently.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Result;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Maximum number of chunks queued in one direction of a connection; beyond it the sender is back-pressured.
const MAX_QUEUED_CHUNKS: usize = 1024;

/// A process, by its index among those of its kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Endpoint {
    Director(u32),
    Voter(u32),
}

/// Conditions on a path in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PathConditions {
    /// Blocks all bytes. Those that arrive meanwhile are delivered afterwards, as after retransmission on a lossy network.
    pub cut: bool,
    pub delay_seconds: f64,
    /// 0 means unlimited.
    pub bytes_per_second: f64,
}

/// Conditions from the dialling endpoint to the other, and of the reverse direction.
type DirectionPair = [PathConditions; 2];

#[derive(Default)]
struct State {
    paths: BTreeMap<(Endpoint, Endpoint), DirectionPair>,
    /// Number of resets so far. A connection made before the latest one is closed.
    resets: BTreeMap<(Endpoint, Endpoint), u64>,
    targets: BTreeMap<Endpoint, SocketAddr>,
}

/// All relays of a simulated day. Clones share their state.
#[derive(Clone)]
pub struct FaultProxy {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<()>,
}

impl Default for FaultProxy {
    fn default() -> Self {
        FaultProxy { state: Arc::default(), changed: watch::channel(()).0 }
    }
}

impl FaultProxy {
    fn with_state<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        act(&mut self.state.lock().unwrap_or_else(|e| e.into_inner()))
    }

    /// Sets the address that new connections to `endpoint` are forwarded to.
    pub fn set_target(&self, endpoint: Endpoint, address: SocketAddr) {
        self.with_state(|s| s.targets.insert(endpoint, address));
    }

    /// Updates the conditions for bytes that `from` sends to `to`, whichever of them dialled.
    pub fn update_path(&self, from: Endpoint, to: Endpoint, update: impl Fn(&mut PathConditions)) {
        self.with_state(|s| {
            update(&mut s.paths.entry((from, to)).or_default()[0]);
            update(&mut s.paths.entry((to, from)).or_default()[1]);
        });
        self.changed.send_replace(());
    }

    /// Closes all connections between two endpoints.
    pub fn reset_connections(&self, one: Endpoint, other: Endpoint) {
        self.with_state(|s| {
            for pair in [(one, other), (other, one)] {
                *s.resets.entry(pair).or_default() += 1;
            }
        });
        self.changed.send_replace(());
    }

    /// Starts a relay for connections that `from` makes to `to`, and returns its address.
    ///
    /// # Errors
    /// If no listening socket can be opened.
    pub async fn add_relay(&self, from: Endpoint, to: Endpoint) -> Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let this = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(this.clone().forward_connection(from, to, stream));
            }
        });
        Ok(address)
    }

    async fn forward_connection(self, from: Endpoint, to: Endpoint, near: TcpStream) {
        let Some(address) = self.with_state(|s| s.targets.get(&to).copied()) else { return };
        let initial_resets = self.with_state(|s| s.resets.get(&(from, to)).copied().unwrap_or(0));
        let Ok(Ok(far)) = timeout(Duration::from_secs(1), TcpStream::connect(address)).await else { return };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let ((near_read, near_write), (far_read, far_write)) = (near.into_split(), far.into_split());
        let mut changed = self.changed.subscribe();
        let reset = async {
            while self.with_state(|s| s.resets.get(&(from, to)).copied().unwrap_or(0)) == initial_resets {
                if changed.changed().await.is_err() {
                    return;
                }
            }
        };
        tokio::select! {
            () = self.forward_bytes((from, to), 0, near_read, far_write) => {}
            () = self.forward_bytes((from, to), 1, far_read, near_write) => {}
            () = reset => {}
        }
    }

    fn conditions(&self, pair: (Endpoint, Endpoint), direction: usize) -> PathConditions {
        self.with_state(|s| s.paths.get(&pair).map(|p| p[direction]).unwrap_or_default())
    }

    async fn forward_bytes(
        &self, pair: (Endpoint, Endpoint), direction: usize, mut read: OwnedReadHalf,
        mut write: OwnedWriteHalf,
    ) {
        let mut changed = self.changed.subscribe();
        // Each chunk has its own delivery time, so that the delay does not add up over consecutive chunks.
        let (to, mut chunks) = mpsc::channel::<(Instant, Vec<u8>)>(MAX_QUEUED_CHUNKS);
        let reader = async move {
            let mut buf = vec![0; 4096];
            while let Ok(n) = read.read(&mut buf).await {
                let delay = self.conditions(pair, direction).delay_seconds;
                let due = Instant::now() + Duration::from_secs_f64(delay);
                if n == 0 || to.send((due, buf[..n].to_vec())).await.is_err() {
                    return;
                }
            }
        };
        let writer = async {
            while let Some((due, chunk)) = chunks.recv().await {
                sleep_until(due).await;
                let rate = self.conditions(pair, direction).bytes_per_second;
                if rate > 0.0 {
                    sleep(Duration::from_secs_f64(chunk.len() as f64 / rate)).await;
                }
                while self.conditions(pair, direction).cut {
                    if changed.changed().await.is_err() {
                        return;
                    }
                }
                if write.write_all(&chunk).await.is_err() {
                    return;
                }
            }
        };
        tokio::join!(reader, writer);
    }
}
