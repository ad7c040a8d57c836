//! Hollow viewers: real connections with real sessions that play nothing, and their shared counters.

use std::collections::{BTreeMap, VecDeque};
use std::io::IoSlice;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};
use std::time::Duration;

use anyhow::{Context as _, Result, bail};
use fastrand::Rng;
use futures_util::{SinkExt, StreamExt};
use hdrhistogram::Histogram;
use kelpdoor_api::{FromPlayer, RequestKey, SUBPROTOCOL, ToPlayer};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, Interval, interval_at, sleep, timeout};
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::client::IntoClientRequest;
use tokio_tungstenite::tungstenite::http::HeaderValue;
use tokio_tungstenite::tungstenite::http::header::SEC_WEBSOCKET_PROTOCOL;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::{WebSocketStream, client_async_with_config};

/// Attempts of a viewer to obtain a session.
const MAX_ATTEMPTS: u32 = 20;
/// Most unanswered pings of a viewer; further ones are skipped and counted.
const MAX_PENDING_PINGS: usize = 8;
/// Most distinct failure reasons that are counted.
const MAX_FAILURE_REASONS: usize = 16;
/// Seconds for an attempt to connect and get a response.
const ATTEMPT_TIMEOUT: f64 = 10.0;
/// Number before the first ping, large enough that all have the same number of digits.
const PING_NUMBER_BASE: u64 = 100_000;
/// Longest response time that is recorded, in µs.
const MAX_RESPONSE_MICROS: u64 = 60_000_000;

/// Results of one measurement window.
pub struct WindowResults {
    /// Response times in µs.
    pub times: Histogram<u64>,
    pub held_back: u64,
    /// Messages that are no response, for example a change of rung.
    pub unasked: u64,
}

/// Counters that all viewers share.
pub struct ViewerCounters {
    pub held: AtomicU64,
    read: AtomicU64,
    written: AtomicU64,
    seen: Mutex<Option<WindowResults>>,
    /// Failure reasons of attempts, with counts.
    failures: Mutex<BTreeMap<String, u64>>,
}

impl ViewerCounters {
    pub fn new() -> ViewerCounters {
        let zero = || AtomicU64::new(0);
        let (seen, failures) = (Mutex::new(None), Mutex::default());
        ViewerCounters { held: zero(), read: zero(), written: zero(), seen, failures }
    }

    /// Bytes to viewers and from viewers, counted at their sockets.
    pub fn bytes(&self) -> (u64, u64) {
        (self.read.load(Relaxed), self.written.load(Relaxed))
    }

    fn lock(&self) -> MutexGuard<'_, Option<WindowResults>> {
        self.seen.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Starts a measurement window.
    pub fn begin(&self) -> Result<()> {
        let times = Histogram::new_with_bounds(1, MAX_RESPONSE_MICROS, 3)?;
        *self.lock() = Some(WindowResults { times, held_back: 0, unasked: 0 });
        Ok(())
    }

    /// Ends the measurement window and returns its results.
    pub fn end(&self) -> Option<WindowResults> {
        self.lock().take()
    }

    fn failed(&self, why: &anyhow::Error) {
        let mut failures = self.failures.lock().unwrap_or_else(|e| e.into_inner());
        let why = format!("{why:#}");
        if failures.len() < MAX_FAILURE_REASONS || failures.contains_key(&why) {
            *failures.entry(why).or_default() += 1;
        }
    }

    /// Describes why attempts failed and sessions ended, with counts.
    pub fn failure_reasons(&self) -> String {
        let failures = self.failures.lock().unwrap_or_else(|e| e.into_inner());
        let all: Vec<String> = failures.iter().map(|(why, n)| format!("{n} times {why}")).collect();
        all.join(", ")
    }

    fn count(&self, act: impl FnOnce(&mut WindowResults)) {
        if let Some(seen) = self.lock().as_mut() {
            act(seen);
        }
    }
}

/// A stream that counts its bytes.
struct CountedStream {
    of: TcpStream,
    counters: Arc<ViewerCounters>,
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buf.filled().len();
        let done = Pin::new(&mut self.of).poll_read(cx, buf);
        self.counters.read.fetch_add((buf.filled().len() - before) as u64, Relaxed);
        done
    }
}

impl CountedStream {
    fn wrote(&self, done: Poll<std::io::Result<usize>>) -> Poll<std::io::Result<usize>> {
        if let Poll::Ready(Ok(n)) = &done {
            self.counters.written.fetch_add(*n as u64, Relaxed);
        }
        done
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let done = Pin::new(&mut self.of).poll_write(cx, buf);
        self.wrote(done)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, bufs: &[IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let done = Pin::new(&mut self.of).poll_write_vectored(cx, bufs);
        self.wrote(done)
    }

    fn is_write_vectored(&self) -> bool {
        self.of.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.of).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.of).poll_shutdown(cx)
    }
}

type ViewerConnection = WebSocketStream<CountedStream>;

async fn open(address: SocketAddr, counters: &Arc<ViewerCounters>) -> Result<ViewerConnection> {
    let of = TcpStream::connect(address).await?;
    of.set_nodelay(true)?;
    let mut request = format!("ws://{address}/").into_client_request()?;
    request.headers_mut().insert(SEC_WEBSOCKET_PROTOCOL, HeaderValue::from_static(SUBPROTOCOL));
    let config = WebSocketConfig::default().read_buffer_size(1024).write_buffer_size(0);
    let stream = CountedStream { of, counters: counters.clone() };
    Ok(client_async_with_config(request, stream, Some(config)).await?.0)
}

async fn receive(connection: &mut ViewerConnection) -> Result<ToPlayer> {
    loop {
        if let Message::Text(text) = connection.next().await.context("the connection was closed")?? {
            return ToPlayer::parse(text.as_str()).map_err(|e| anyhow::anyhow!("{e}"));
        }
    }
}

async fn send(connection: &mut ViewerConnection, message: &FromPlayer) -> Result<()> {
    Ok(connection.send(Message::text(message.text())).await?)
}

/// Requests a session. `None` once it plays; otherwise the seconds to wait before the next attempt.
async fn begin(connection: &mut ViewerConnection, key: String, title: &str) -> Result<Option<f64>> {
    let key = RequestKey(key);
    let (group, title) = ("story".to_owned(), title.to_owned());
    let start =
        FromPlayer::Start { key: key.clone(), group, title, best_rung: 2, setup_timeout: 5.0, token: None };
    send(connection, &start).await?;
    loop {
        let message = receive(connection).await?;
        if message.key() != Some(&key) || !message.is_final() {
            continue;
        }
        return Ok(match message {
            ToPlayer::Playing { .. } => None,
            ToPlayer::Busy { come_back, .. } => Some(come_back.unwrap_or(1.0)),
            _ => Some(0.5),
        });
    }
}

/// Obtains a session and holds it, and sends pings at the rate given, per second.
pub async fn viewer(
    me: usize, address: SocketAddr, title: String, counters: Arc<ViewerCounters>,
    mut rate: watch::Receiver<f64>, seed: u64,
) {
    let mut rng = Rng::with_seed(seed << 32 | me as u64);
    for n in 0..MAX_ATTEMPTS {
        let key = format!("hollow-{me:06}-{n:03}");
        if let Err(why) = run_connection(&key, address, &title, &counters, &mut rate, &mut rng).await {
            counters.failed(&why);
        }
    }
}

/// Runs one connection until it ends.
async fn run_connection(
    key: &str, address: SocketAddr, title: &str, counters: &Arc<ViewerCounters>,
    rate: &mut watch::Receiver<f64>, rng: &mut Rng,
) -> Result<()> {
    let come = async {
        let mut connection = open(address, counters).await.context("connecting")?;
        let wait = begin(&mut connection, key.to_owned(), title).await.context("asking")?;
        anyhow::Ok((connection, wait))
    };
    let came = timeout(Duration::from_secs_f64(ATTEMPT_TIMEOUT), come).await;
    let (mut connection, wait) = match came.context("no answer in time").and_then(|came| came) {
        Ok(came) => came,
        Err(e) => {
            sleep(Duration::from_secs_f64(0.5 + rng.f64())).await;
            return Err(e);
        }
    };
    if let Some(wait) = wait {
        drop(connection);
        sleep(Duration::from_secs_f64(wait * (0.7 + 0.6 * rng.f64()))).await;
        bail!("not now");
    }
    counters.held.fetch_add(1, Relaxed);
    let held = hold(&mut connection, counters, rate, rng).await;
    counters.held.fetch_sub(1, Relaxed);
    held
}

fn ticks(rate: f64, rng: &mut Rng) -> Option<Interval> {
    let every = Duration::from_secs_f64(1.0 / rate.max(1e-6));
    (rate > 0.0).then(|| interval_at(Instant::now() + every.mul_f64(rng.f64()), every))
}

/// Holds a session: sends pings and handles messages until the session ends.
async fn hold(
    connection: &mut ViewerConnection, counters: &ViewerCounters, rate: &mut watch::Receiver<f64>,
    rng: &mut Rng,
) -> Result<()> {
    // Due times of pings, so that the delay of a ping sent late counts, too.
    let mut pending: VecDeque<(u64, Instant)> = VecDeque::new();
    let mut n = PING_NUMBER_BASE;
    let mut every = ticks(*rate.borrow_and_update(), rng);
    loop {
        let tick = async {
            match &mut every {
                Some(every) => every.tick().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            changed = rate.changed() => {
                changed?;
                every = ticks(*rate.borrow_and_update(), rng);
            }
            due = tick => {
                if pending.len() >= MAX_PENDING_PINGS {
                    counters.count(|s| s.held_back += 1);
                    continue;
                }
                n += 1;
                pending.push_back((n, due));
                send(connection, &FromPlayer::Ping { n }).await?;
            }
            message = receive(connection) => match message? {
                ToPlayer::Pong { n } => {
                    while let Some((of, due)) = pending.pop_front() {
                        if of == n {
                            let us = due.elapsed().as_micros() as u64;
                            counters.count(|s| { let _ = s.times.record(us.clamp(1, MAX_RESPONSE_MICROS)); });
                            break;
                        }
                    }
                }
                ToPlayer::Ended { why, .. } => bail!("ended: {why:?}"),
                _ => counters.count(|s| s.unasked += 1),
            },
        }
    }
}
