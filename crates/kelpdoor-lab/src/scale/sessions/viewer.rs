//! A hollow viewer: a real connection with a real session that plays nothing, and what all of them count together.

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

/// Tries of a viewer to come to a session at most.
const TRIES: u32 = 20;
/// Pings without an answer at most; more are held back, and counted.
const OUT: usize = 8;
/// Reasons told apart at most.
const WHYS: usize = 16;
/// s; a try to connect and come to an answer ends after so long.
const TRY: f64 = 10.0;
/// Of pings, so that each has as many digits.
const FIRST: u64 = 100_000;
/// us; the longest time told apart.
const LONGEST: u64 = 60_000_000;

/// What was seen over a while.
pub struct Seen {
    /// us
    pub times: Histogram<u64>,
    pub held_back: u64,
    /// Messages that answer nothing: of another rung, of an end.
    pub unasked: u64,
}

/// What all viewers count together.
pub struct Tally {
    pub held: AtomicU64,
    read: AtomicU64,
    written: AtomicU64,
    seen: Mutex<Option<Seen>>,
    /// Why tries failed, and how often.
    whys: Mutex<BTreeMap<String, u64>>,
}

impl Tally {
    pub fn new() -> Tally {
        let zero = || AtomicU64::new(0);
        let (seen, whys) = (Mutex::new(None), Mutex::default());
        Tally { held: zero(), read: zero(), written: zero(), seen, whys }
    }

    /// To viewers and from them, at their sockets.
    pub fn bytes(&self) -> (u64, u64) {
        (self.read.load(Relaxed), self.written.load(Relaxed))
    }

    fn lock(&self) -> MutexGuard<'_, Option<Seen>> {
        self.seen.lock().unwrap_or_else(|e| e.into_inner())
    }

    pub fn begin(&self) -> Result<()> {
        let times = Histogram::new_with_bounds(1, LONGEST, 3)?;
        *self.lock() = Some(Seen { times, held_back: 0, unasked: 0 });
        Ok(())
    }

    pub fn end(&self) -> Option<Seen> {
        self.lock().take()
    }

    fn failed(&self, why: &anyhow::Error) {
        let mut whys = self.whys.lock().unwrap_or_else(|e| e.into_inner());
        let why = format!("{why:#}");
        if whys.len() < WHYS || whys.contains_key(&why) {
            *whys.entry(why).or_default() += 1;
        }
    }

    /// Why tries failed and sessions ended, with how often.
    pub fn whys(&self) -> String {
        let whys = self.whys.lock().unwrap_or_else(|e| e.into_inner());
        let all: Vec<String> = whys.iter().map(|(why, n)| format!("{n} times {why}")).collect();
        all.join(", ")
    }

    fn count(&self, act: impl FnOnce(&mut Seen)) {
        if let Some(seen) = self.lock().as_mut() {
            act(seen);
        }
    }
}

/// A stream whose bytes are counted.
struct Counted {
    of: TcpStream,
    tally: Arc<Tally>,
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buf.filled().len();
        let done = Pin::new(&mut self.of).poll_read(cx, buf);
        self.tally.read.fetch_add((buf.filled().len() - before) as u64, Relaxed);
        done
    }
}

impl Counted {
    fn wrote(&self, done: Poll<std::io::Result<usize>>) -> Poll<std::io::Result<usize>> {
        if let Poll::Ready(Ok(n)) = &done {
            self.tally.written.fetch_add(*n as u64, Relaxed);
        }
        done
    }
}

impl AsyncWrite for Counted {
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

type Line = WebSocketStream<Counted>;

async fn open(address: SocketAddr, tally: &Arc<Tally>) -> Result<Line> {
    let of = TcpStream::connect(address).await?;
    of.set_nodelay(true)?;
    let mut request = format!("ws://{address}/").into_client_request()?;
    request.headers_mut().insert(SEC_WEBSOCKET_PROTOCOL, HeaderValue::from_static(SUBPROTOCOL));
    let config = WebSocketConfig::default().read_buffer_size(1024).write_buffer_size(0);
    let stream = Counted { of, tally: tally.clone() };
    Ok(client_async_with_config(request, stream, Some(config)).await?.0)
}

async fn hear(line: &mut Line) -> Result<ToPlayer> {
    loop {
        if let Message::Text(text) = line.next().await.context("the connection was closed")?? {
            return ToPlayer::parse(text.as_str()).map_err(|e| anyhow::anyhow!("{e}"));
        }
    }
}

async fn say(line: &mut Line, message: &FromPlayer) -> Result<()> {
    Ok(line.send(Message::text(message.text())).await?)
}

/// Asks for a session until one plays. `None`: not now, come again after so many seconds.
async fn begin(line: &mut Line, key: String, title: &str) -> Result<Option<f64>> {
    let key = RequestKey(key);
    let (group, title) = ("story".to_owned(), title.to_owned());
    let start =
        FromPlayer::Start { key: key.clone(), group, title, best_rung: 2, setup_timeout: 5.0, token: None };
    say(line, &start).await?;
    loop {
        let heard = hear(line).await?;
        if heard.key() != Some(&key) || !heard.is_final() {
            continue;
        }
        return Ok(match heard {
            ToPlayer::Playing { .. } => None,
            ToPlayer::Busy { come_back, .. } => Some(come_back.unwrap_or(1.0)),
            _ => Some(0.5),
        });
    }
}

/// Comes to a session and holds it, and pings at the pace told, a second.
pub async fn viewer(
    me: usize, address: SocketAddr, title: String, tally: Arc<Tally>, mut pace: watch::Receiver<f64>,
    seed: u64,
) {
    let mut rng = Rng::with_seed(seed << 32 | me as u64);
    for n in 0..TRIES {
        let key = format!("hollow-{me:06}-{n:03}");
        if let Err(why) = one(&key, address, &title, &tally, &mut pace, &mut rng).await {
            tally.failed(&why);
        }
    }
}

/// One connection to its end.
async fn one(
    key: &str, address: SocketAddr, title: &str, tally: &Arc<Tally>, pace: &mut watch::Receiver<f64>,
    rng: &mut Rng,
) -> Result<()> {
    let come = async {
        let mut line = open(address, tally).await.context("connecting")?;
        let wait = begin(&mut line, key.to_owned(), title).await.context("asking")?;
        anyhow::Ok((line, wait))
    };
    let came = timeout(Duration::from_secs_f64(TRY), come).await;
    let (mut line, wait) = match came.context("no answer in time").and_then(|came| came) {
        Ok(came) => came,
        Err(e) => {
            sleep(Duration::from_secs_f64(0.5 + rng.f64())).await;
            return Err(e);
        }
    };
    if let Some(wait) = wait {
        drop(line);
        sleep(Duration::from_secs_f64(wait * (0.7 + 0.6 * rng.f64()))).await;
        bail!("not now");
    }
    tally.held.fetch_add(1, Relaxed);
    let held = hold(&mut line, tally, pace, rng).await;
    tally.held.fetch_sub(1, Relaxed);
    held
}

fn ticks(pace: f64, rng: &mut Rng) -> Option<Interval> {
    let every = Duration::from_secs_f64(1.0 / pace.max(1e-6));
    (pace > 0.0).then(|| interval_at(Instant::now() + every.mul_f64(rng.f64()), every))
}

async fn hold(line: &mut Line, tally: &Tally, pace: &mut watch::Receiver<f64>, rng: &mut Rng) -> Result<()> {
    // When each ping was due, so that one that leaves late counts from then.
    let mut out: VecDeque<(u64, Instant)> = VecDeque::new();
    let mut n = FIRST;
    let mut every = ticks(*pace.borrow_and_update(), rng);
    loop {
        let tick = async {
            match &mut every {
                Some(every) => every.tick().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            changed = pace.changed() => {
                changed?;
                every = ticks(*pace.borrow_and_update(), rng);
            }
            due = tick => {
                if out.len() >= OUT {
                    tally.count(|s| s.held_back += 1);
                    continue;
                }
                n += 1;
                out.push_back((n, due));
                say(line, &FromPlayer::Ping { n }).await?;
            }
            heard = hear(line) => match heard? {
                ToPlayer::Pong { n } => {
                    while let Some((of, due)) = out.pop_front() {
                        if of == n {
                            let us = due.elapsed().as_micros() as u64;
                            tally.count(|s| { let _ = s.times.record(us.clamp(1, LONGEST)); });
                            break;
                        }
                    }
                }
                ToPlayer::Ended { why, .. } => bail!("ended: {why:?}"),
                _ => tally.count(|s| s.unasked += 1),
            },
        }
    }
}
