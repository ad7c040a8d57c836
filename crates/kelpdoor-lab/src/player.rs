//! Scripted players. Each one wants to watch a title for a given time: it sends its request, perhaps sends it again, plays,
//! and starts over after a busy reply, a failure or a lost session until that time has passed.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use fastrand::Rng;
use futures_util::{SinkExt, StreamExt};
use kelpdoor_api::{FromPlayer, RequestKey, SUBPROTOCOL, ToPlayer};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};
use tokio_tungstenite::tungstenite::client::IntoClientRequest;
use tokio_tungstenite::tungstenite::http::HeaderValue;
use tokio_tungstenite::tungstenite::http::header::SEC_WEBSOCKET_PROTOCOL;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{Error as WsError, Message};
use tokio_tungstenite::{WebSocketStream, client_async_with_config};

use crate::record::{Event, Recorder};
use crate::schools::TokenIssuer;

/// A director's address, boot and zone.
pub type DirectorAddress = (SocketAddr, u32, String);

/// The addresses on which directors listen, by number; `None` while a director is down.
#[derive(Clone, Default)]
pub struct DirectorAddresses(Arc<Mutex<Vec<Option<DirectorAddress>>>>);

impl DirectorAddresses {
    /// Sets or clears a director's address.
    pub fn set(&self, director: usize, at: Option<DirectorAddress>) {
        let mut all = self.0.lock().unwrap_or_else(|e| e.into_inner());
        if all.len() <= director {
            all.resize(director + 1, None);
        }
        all[director] = at;
    }

    /// Draws a director other than `excluded`, if any is up: number, address and boot.
    fn draw_other(&self, excluded: u32, rng: &mut Rng) -> Option<(u32, SocketAddr, u32)> {
        let all = self.0.lock().unwrap_or_else(|e| e.into_inner());
        let up = all.iter().enumerate().filter_map(|(d, at)| at.as_ref().map(|(a, b, _)| (d as u32, *a, *b)));
        let up: Vec<_> = up.filter(|u| u.0 != excluded).collect();
        (!up.is_empty()).then(|| up[rng.usize(..up.len())])
    }

    /// Draws a director of the zone, or any director if none of the zone is up: number, address and boot.
    fn draw(&self, zone: &str, rng: &mut Rng) -> Option<(u32, SocketAddr, u32)> {
        let all = self.0.lock().unwrap_or_else(|e| e.into_inner());
        let up: Vec<(u32, SocketAddr, u32, bool)> = all
            .iter()
            .enumerate()
            .filter_map(|(d, at)| at.as_ref().map(|(a, b, z)| (d as u32, *a, *b, z == zone)))
            .collect();
        let near: Vec<_> = up.iter().filter(|u| u.3).collect();
        let from: Vec<_> = if near.is_empty() { up.iter().collect() } else { near };
        (!from.is_empty()).then(|| from[rng.usize(..from.len())]).map(|u| (u.0, u.1, u.2))
    }
}

/// The session that one viewer wants. Times are in seconds.
#[derive(Clone, Debug)]
pub struct DesiredSession {
    pub player: u32,
    pub zone: String,
    pub group: String,
    pub title: String,
    pub best_rung: u8,
    /// How long the viewer wants to watch.
    pub seconds: f64,
    pub setup_timeout: f64,
    /// Sends the request again before the answer has come.
    pub retries: bool,
    /// Sends that second request on a new socket.
    pub second_socket: bool,
    pub token_plan: Option<TokenPlan>,
}

/// How a viewer uses its entitlement tokens.
#[derive(Clone, Debug)]
pub struct TokenPlan {
    pub school: String,
    /// Lifetime of each token, in seconds.
    pub lasts: f64,
    /// Renews a token that is about to expire.
    pub renews: bool,
    /// Sends its second request to another director, with the same token.
    pub elsewhere: bool,
}

/// A WebSocket to a director that records its messages.
pub struct PlayerSocket {
    ws: WebSocketStream<TcpStream>,
    recorder: Recorder,
    player: u32,
    director: u32,
    boot: u32,
}

impl PlayerSocket {
    /// Connects to a director, given by number, address and boot.
    ///
    /// # Errors
    /// If the connection or the handshake fails.
    pub async fn open(
        recorder: &Recorder, player: u32, (director, address, boot): (u32, SocketAddr, u32),
    ) -> Result<Self, WsError> {
        let stream = TcpStream::connect(address).await?;
        let _ = stream.set_nodelay(true);
        let mut request = format!("ws://{address}/").into_client_request()?;
        request.headers_mut().insert(SEC_WEBSOCKET_PROTOCOL, HeaderValue::from_static(SUBPROTOCOL));
        let config = WebSocketConfig::default().read_buffer_size(1024).write_buffer_size(0);
        let (ws, _) = client_async_with_config(request, stream, Some(config)).await?;
        let socket = PlayerSocket { ws, recorder: recorder.clone(), player, director, boot };
        socket.record_open(true);
        Ok(socket)
    }

    fn record_open(&self, open: bool) {
        let (player, director, boot) = (self.player, self.director, self.boot);
        self.recorder.record(Event::PlayerSock { player, director, boot, open });
    }

    fn record_message(&self, got: bool, text: &str) {
        if self.recorder.is_enabled() {
            let (player, director, boot) = (self.player, self.director, self.boot);
            self.recorder.record(Event::Player { player, director, boot, got, text: text.to_owned() });
        }
    }

    /// Sends a message.
    ///
    /// # Errors
    /// If the socket is closed.
    pub async fn send(&mut self, message: &FromPlayer) -> Result<(), WsError> {
        let text = message.text();
        self.record_message(false, &text);
        self.ws.send(Message::text(text)).await
    }

    /// Receives the next valid message; `None` once the socket is closed.
    pub async fn receive(&mut self) -> Option<ToPlayer> {
        loop {
            match self.ws.next().await {
                Some(Ok(Message::Text(text))) => {
                    self.record_message(true, text.as_str());
                    if let Ok(message) = ToPlayer::parse(text.as_str()) {
                        return Some(message);
                    }
                }
                Some(Ok(Message::Close(_))) | Some(Err(_)) | None => return None,
                Some(Ok(_)) => {}
            }
        }
    }
}

impl Drop for PlayerSocket {
    fn drop(&mut self) {
        self.record_open(false);
    }
}

/// Reads on from a director that the viewer has left for another one, until its session has ended or failed.
async fn wait_for_end(mut socket: PlayerSocket, answer_deadline: Instant) {
    let until = answer_deadline + Duration::from_secs(5);
    while let Ok(Some(m)) = timeout_at(until, socket.receive()).await {
        if matches!(m, ToPlayer::Ended { .. } | ToPlayer::Busy { .. } | ToPlayer::Failed { .. }) {
            return;
        }
    }
}

/// The outcome of an attempt.
enum Attempt {
    /// The viewer watched to the end.
    Finished,
    /// The viewer retries after this many seconds.
    RetryAfter(f64),
}

/// Runs one viewer: attempts until it has watched, its time has passed, or 20 attempts are used up.
pub async fn run_player(
    wanted: DesiredSession, directors: DirectorAddresses, recorder: Recorder,
    token_issuer: Option<Arc<TokenIssuer>>, seed: u64,
) {
    let mut rng = Rng::with_seed(seed);
    recorder.record(Event::Wish {
        player: wanted.player,
        group: wanted.group.clone(),
        best_rung: wanted.best_rung,
        seconds: wanted.seconds,
    });
    let end = Instant::now() + Duration::from_secs_f64(wanted.seconds + 1.0);
    let mut tries = 0;
    while Instant::now() + Duration::from_secs(2) < end && tries < 20 {
        tries += 1;
        let token = || {
            let plan = wanted.token_plan.as_ref()?;
            let id = format!("viewer-{}", wanted.player);
            token_issuer.as_ref()?.token(&plan.school, &id, plan.lasts).ok()
        };
        match attempt(&wanted, &directors, &recorder, tries, end, &mut rng, &token).await {
            Attempt::Finished => return,
            Attempt::RetryAfter(wait) => sleep(Duration::from_secs_f64(wait)).await,
        }
    }
}

/// Makes one attempt at a session.
async fn attempt(
    wanted: &DesiredSession, directors: &DirectorAddresses, recorder: &Recorder, tries: u32, end: Instant,
    rng: &mut Rng, token: &impl Fn() -> Option<String>,
) -> Attempt {
    let retry_delay = 0.3 + rng.f64();
    let Some(to) = directors.draw(&wanted.zone, rng) else { return Attempt::RetryAfter(retry_delay) };
    let opened = timeout(Duration::from_secs(3), PlayerSocket::open(recorder, wanted.player, to)).await;
    let Ok(Ok(mut socket)) = opened else { return Attempt::RetryAfter(retry_delay) };
    let mut key = RequestKey(format!("p{:05}-{tries:02}-{:08x}", wanted.player, rng.u32(..)));
    let mut start = FromPlayer::Start {
        key: key.clone(),
        group: wanted.group.clone(),
        title: wanted.title.clone(),
        best_rung: wanted.best_rung,
        setup_timeout: wanted.setup_timeout,
        token: token(),
    };
    if socket.send(&start).await.is_err() {
        return Attempt::RetryAfter(retry_delay);
    }
    // Longer than the timeout, so that the record shows a late answer.
    let answer_deadline = Instant::now() + Duration::from_secs_f64(wanted.setup_timeout + 0.3);
    let mut resend_at =
        wanted.retries.then(|| Instant::now() + Duration::from_secs_f64(0.005 + 0.1 * rng.f64()));
    let mut second: Option<PlayerSocket> = None;
    let answer = loop {
        let until = resend_at.unwrap_or(answer_deadline).min(answer_deadline);
        match timeout_at(until, socket.receive()).await {
            Ok(Some(m)) if m.is_final() && m.key() == Some(&key) => break Some(m),
            Ok(Some(ToPlayer::Error { .. })) | Ok(None) => break None,
            Ok(Some(_)) => {}
            Err(_) if resend_at.is_some() && wanted.token_plan.as_ref().is_some_and(|t| t.elsewhere) => {
                resend_at = None;
                // Shows the same token to another director before the first one has answered.
                if let Some(other) = directors.draw_other(to.0, rng)
                    && let Ok(Ok(new)) =
                        timeout(Duration::from_secs(1), PlayerSocket::open(recorder, wanted.player, other))
                            .await
                {
                    let first = std::mem::replace(&mut socket, new);
                    tokio::spawn(wait_for_end(first, answer_deadline));
                    if let FromPlayer::Start { key: of, .. } = &mut start {
                        of.0.push_str("-b");
                        key = of.clone();
                    }
                    if socket.send(&start).await.is_err() {
                        break None;
                    }
                }
            }
            Err(_) if resend_at.take().is_some() => {
                if wanted.second_socket {
                    // The answer comes on the new socket; the first one is closed after it.
                    if let Ok(Ok(new)) =
                        timeout(Duration::from_secs(1), PlayerSocket::open(recorder, wanted.player, to)).await
                    {
                        second = Some(std::mem::replace(&mut socket, new));
                    }
                }
                if socket.send(&start).await.is_err() {
                    break None;
                }
            }
            Err(_) => break None,
        }
    };
    drop(second);
    match answer {
        Some(ToPlayer::Playing { .. }) => {}
        Some(ToPlayer::Busy { come_back, .. }) => {
            return Attempt::RetryAfter(come_back.unwrap_or(1.0) * (0.7 + 0.6 * rng.f64()));
        }
        _ => return Attempt::RetryAfter(0.6 + 1.5 * rng.f64()),
    }
    loop {
        tokio::select! {
            () = sleep_until(end) => break,
            received = socket.receive() => match received {
                Some(ToPlayer::Ended { .. }) | None => return Attempt::RetryAfter(0.6 + 1.5 * rng.f64()),
                Some(ToPlayer::Expiring { .. }) if wanted.token_plan.as_ref().is_some_and(|t| t.renews) => {
                    let Some(token) = token() else { continue };
                    if socket.send(&FromPlayer::Renew { key: key.clone(), token }).await.is_err() {
                        return Attempt::RetryAfter(0.6 + 1.5 * rng.f64());
                    }
                }
                Some(_) => {}
            },
        }
    }
    if socket.send(&FromPlayer::Stop { key }).await.is_ok() {
        let _ = timeout(Duration::from_secs(2), async {
            while let Some(m) = socket.receive().await {
                if matches!(m, ToPlayer::Ended { .. }) {
                    break;
                }
            }
        })
        .await;
    }
    Attempt::Finished
}
