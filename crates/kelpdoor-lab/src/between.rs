//! What lies between two processes: a relay for each ordered pair, whose two directions are cut, held up or slowed apart.

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

/// Parts of a stream held up at most; more wait at their sender.
const PARTS: usize = 1024;

/// A process, as its place among its kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Site {
    Director(u32),
    Voter(u32),
}

/// What becomes of bytes one way.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Way {
    /// Nothing passes; what came meanwhile passes when it ends, as on a network that lost it and sends it again.
    pub cut: bool,
    /// s
    pub late: f64,
    /// Bytes a second; 0: any number.
    pub rate: f64,
}

/// One way, from who dialled and back.
type Ways = [Way; 2];

#[derive(Default)]
struct State {
    ways: BTreeMap<(Site, Site), Ways>,
    /// Connections made before that count of resets are closed.
    resets: BTreeMap<(Site, Site), u64>,
    targets: BTreeMap<Site, SocketAddr>,
}

/// All relays of a day.
#[derive(Clone)]
pub struct Between {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<()>,
}

impl Default for Between {
    fn default() -> Self {
        Between { state: Arc::default(), changed: watch::channel(()).0 }
    }
}

impl Between {
    fn with<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        act(&mut self.state.lock().unwrap_or_else(|e| e.into_inner()))
    }

    /// Where that site listens, from now on.
    pub fn target(&self, site: Site, at: SocketAddr) {
        self.with(|s| s.targets.insert(site, at));
    }

    /// Changes what becomes of bytes that `from` sends to `to`, whoever dialled.
    pub fn set(&self, from: Site, to: Site, act: impl Fn(&mut Way)) {
        self.with(|s| {
            act(&mut s.ways.entry((from, to)).or_default()[0]);
            act(&mut s.ways.entry((to, from)).or_default()[1]);
        });
        self.changed.send_replace(());
    }

    /// Closes all connections between the two, on a reset.
    pub fn reset(&self, one: Site, other: Site) {
        self.with(|s| {
            for pair in [(one, other), (other, one)] {
                *s.resets.entry(pair).or_default() += 1;
            }
        });
        self.changed.send_replace(());
    }

    /// An address that leads from one site to the other.
    pub async fn relay(&self, from: Site, to: Site) -> Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let this = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(this.clone().carry(from, to, stream));
            }
        });
        Ok(address)
    }

    async fn carry(self, from: Site, to: Site, near: TcpStream) {
        let Some(at) = self.with(|s| s.targets.get(&to).copied()) else { return };
        let born = self.with(|s| s.resets.get(&(from, to)).copied().unwrap_or(0));
        let Ok(Ok(far)) = timeout(Duration::from_secs(1), TcpStream::connect(at)).await else { return };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let ((near_read, near_write), (far_read, far_write)) = (near.into_split(), far.into_split());
        let mut changed = self.changed.subscribe();
        let reset = async {
            while self.with(|s| s.resets.get(&(from, to)).copied().unwrap_or(0)) == born {
                if changed.changed().await.is_err() {
                    return;
                }
            }
        };
        tokio::select! {
            () = self.pump((from, to), 0, near_read, far_write) => {}
            () = self.pump((from, to), 1, far_read, near_write) => {}
            () = reset => {}
        }
    }

    fn way(&self, pair: (Site, Site), way: usize) -> Way {
        self.with(|s| s.ways.get(&pair).map(|w| w[way]).unwrap_or_default())
    }

    async fn pump(&self, pair: (Site, Site), way: usize, mut read: OwnedReadHalf, mut write: OwnedWriteHalf) {
        let mut changed = self.changed.subscribe();
        // What is late does not hold up what comes behind it: each part has its own time.
        let (to, mut parts) = mpsc::channel::<(Instant, Vec<u8>)>(PARTS);
        let reader = async move {
            let mut buf = vec![0; 4096];
            while let Ok(n) = read.read(&mut buf).await {
                let late = self.way(pair, way).late;
                let due = Instant::now() + Duration::from_secs_f64(late);
                if n == 0 || to.send((due, buf[..n].to_vec())).await.is_err() {
                    return;
                }
            }
        };
        let writer = async {
            while let Some((due, part)) = parts.recv().await {
                sleep_until(due).await;
                let rate = self.way(pair, way).rate;
                if rate > 0.0 {
                    sleep(Duration::from_secs_f64(part.len() as f64 / rate)).await;
                }
                while self.way(pair, way).cut {
                    if changed.changed().await.is_err() {
                        return;
                    }
                }
                if write.write_all(&part).await.is_err() {
                    return;
                }
            }
        };
        tokio::join!(reader, writer);
    }
}
