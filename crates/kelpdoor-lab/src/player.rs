//! Scripted players: each wants one recording for a while, asks, retries, plays, and comes again when it is
//! turned away or cut off, as long as the session would still run.

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

use crate::record::{Recorder, What};
use crate::tickets::Issuing;

/// A director's address, boot and zone.
pub type Place = (SocketAddr, u32, String);

/// Where directors listen now; `None` while one is down.
#[derive(Clone, Default)]
pub struct Directors(Arc<Mutex<Vec<Option<Place>>>>);

impl Directors {
    pub fn set(&self, director: usize, at: Option<Place>) {
        let mut all = self.0.lock().unwrap_or_else(|e| e.into_inner());
        if all.len() <= director {
            all.resize(director + 1, None);
        }
        all[director] = at;
    }

    /// Another one than that, if any is up.
    fn draw_other(&self, than: u32, rng: &mut Rng) -> Option<(u32, SocketAddr, u32)> {
        let all = self.0.lock().unwrap_or_else(|e| e.into_inner());
        let up = all.iter().enumerate().filter_map(|(d, at)| at.as_ref().map(|(a, b, _)| (d as u32, *a, *b)));
        let up: Vec<_> = up.filter(|u| u.0 != than).collect();
        (!up.is_empty()).then(|| up[rng.usize(..up.len())])
    }

    /// One of the zone if any is up, else any.
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

/// What one viewer wants.
#[derive(Clone, Debug)]
pub struct Wish {
    pub player: u32,
    pub zone: String,
    pub group: String,
    pub title: String,
    pub best_rung: u8,
    /// How long it would be watched, s.
    pub seconds: f64,
    pub setup_timeout: f64,
    /// Sends its request again while the answer is out, on the same socket or on a second one.
    pub retries: bool,
    pub second_socket: bool,
    pub ticket: Option<Ticket>,
}

/// A viewer's entitlement, shown with each request.
#[derive(Clone, Debug)]
pub struct Ticket {
    pub school: String,
    /// s; of each token.
    pub lasts: f64,
    pub renews: bool,
    /// Where it retries, it goes to another director with the same token.
    pub elsewhere: bool,
}

/// A socket to a director, its messages recorded.
pub struct Socket {
    ws: WebSocketStream<TcpStream>,
    recorder: Recorder,
    player: u32,
    director: u32,
    boot: u32,
}

impl Socket {
    pub async fn open(
        recorder: &Recorder, player: u32, (director, address, boot): (u32, SocketAddr, u32),
    ) -> Result<Self, WsError> {
        let stream = TcpStream::connect(address).await?;
        let _ = stream.set_nodelay(true);
        let mut request = format!("ws://{address}/").into_client_request()?;
        request.headers_mut().insert(SEC_WEBSOCKET_PROTOCOL, HeaderValue::from_static(SUBPROTOCOL));
        let config = WebSocketConfig::default().read_buffer_size(1024).write_buffer_size(0);
        let (ws, _) = client_async_with_config(request, stream, Some(config)).await?;
        let socket = Socket { ws, recorder: recorder.clone(), player, director, boot };
        socket.note(true);
        Ok(socket)
    }

    fn note(&self, open: bool) {
        let (player, director, boot) = (self.player, self.director, self.boot);
        self.recorder.put(What::PlayerSock { player, director, boot, open });
    }

    fn keep(&self, got: bool, text: &str) {
        if self.recorder.kept() {
            let (player, director, boot) = (self.player, self.director, self.boot);
            self.recorder.put(What::Player { player, director, boot, got, text: text.to_owned() });
        }
    }

    pub async fn say(&mut self, message: &FromPlayer) -> Result<(), WsError> {
        let text = message.text();
        self.keep(false, &text);
        self.ws.send(Message::text(text)).await
    }

    /// The next message; `None` when the socket is gone.
    pub async fn hear(&mut self) -> Option<ToPlayer> {
        loop {
            match self.ws.next().await {
                Some(Ok(Message::Text(text))) => {
                    self.keep(true, text.as_str());
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

impl Drop for Socket {
    fn drop(&mut self) {
        self.note(false);
    }
}

/// Hears a request out that its viewer has left for another director.
async fn listen_on(mut socket: Socket, patience: Instant) {
    let until = patience + Duration::from_secs(5);
    while let Ok(Some(m)) = timeout_at(until, socket.hear()).await {
        if matches!(m, ToPlayer::Ended { .. } | ToPlayer::Busy { .. } | ToPlayer::Failed { .. }) {
            return;
        }
    }
}

/// How a try ended.
enum Try {
    /// Watched to the end.
    Done,
    /// Come again after so long.
    Again(f64),
}

/// Plays one viewer's part to its end.
pub async fn play(
    wish: Wish, directors: Directors, recorder: Recorder, issuing: Option<Arc<Issuing>>, seed: u64,
) {
    let mut rng = Rng::with_seed(seed);
    recorder.put(What::Wish {
        player: wish.player,
        group: wish.group.clone(),
        best_rung: wish.best_rung,
        seconds: wish.seconds,
    });
    let end = Instant::now() + Duration::from_secs_f64(wish.seconds + 1.0);
    let mut tries = 0;
    while Instant::now() + Duration::from_secs(2) < end && tries < 20 {
        tries += 1;
        let token = || {
            let ticket = wish.ticket.as_ref()?;
            let id = format!("viewer-{}", wish.player);
            issuing.as_ref()?.token(&ticket.school, &id, ticket.lasts).ok()
        };
        match one_try(&wish, &directors, &recorder, tries, end, &mut rng, &token).await {
            Try::Done => return,
            Try::Again(wait) => sleep(Duration::from_secs_f64(wait)).await,
        }
    }
}

async fn one_try(
    wish: &Wish, directors: &Directors, recorder: &Recorder, tries: u32, end: Instant, rng: &mut Rng,
    token: &impl Fn() -> Option<String>,
) -> Try {
    let soon = 0.3 + rng.f64();
    let Some(to) = directors.draw(&wish.zone, rng) else { return Try::Again(soon) };
    let opened = timeout(Duration::from_secs(3), Socket::open(recorder, wish.player, to)).await;
    let Ok(Ok(mut socket)) = opened else { return Try::Again(soon) };
    let mut key = RequestKey(format!("p{:05}-{tries:02}-{:08x}", wish.player, rng.u32(..)));
    let mut start = FromPlayer::Start {
        key: key.clone(),
        group: wish.group.clone(),
        title: wish.title.clone(),
        best_rung: wish.best_rung,
        setup_timeout: wish.setup_timeout,
        token: token(),
    };
    if socket.say(&start).await.is_err() {
        return Try::Again(soon);
    }
    // Somewhat longer than the timeout, so that a late answer shows in the record.
    let patience = Instant::now() + Duration::from_secs_f64(wish.setup_timeout + 0.3);
    let mut retry_at =
        wish.retries.then(|| Instant::now() + Duration::from_secs_f64(0.005 + 0.1 * rng.f64()));
    let mut second: Option<Socket> = None;
    let answer = loop {
        let until = retry_at.unwrap_or(patience).min(patience);
        match timeout_at(until, socket.hear()).await {
            Ok(Some(m)) if m.is_final() && m.key() == Some(&key) => break Some(m),
            Ok(Some(ToPlayer::Error { .. })) | Ok(None) => break None,
            Ok(Some(_)) => {}
            Err(_) if retry_at.is_some() && wish.ticket.as_ref().is_some_and(|t| t.elsewhere) => {
                retry_at = None;
                // The same token at another director, while the first answer is out.
                if let Some(other) = directors.draw_other(to.0, rng)
                    && let Ok(Ok(new)) =
                        timeout(Duration::from_secs(1), Socket::open(recorder, wish.player, other)).await
                {
                    let first = std::mem::replace(&mut socket, new);
                    tokio::spawn(listen_on(first, patience));
                    if let FromPlayer::Start { key: of, .. } = &mut start {
                        of.0.push_str("-b");
                        key = of.clone();
                    }
                    if socket.say(&start).await.is_err() {
                        break None;
                    }
                }
            }
            Err(_) if retry_at.take().is_some() => {
                if wish.second_socket {
                    // The first socket is let go: the answer comes on the new one.
                    if let Ok(Ok(new)) =
                        timeout(Duration::from_secs(1), Socket::open(recorder, wish.player, to)).await
                    {
                        second = Some(std::mem::replace(&mut socket, new));
                    }
                }
                if socket.say(&start).await.is_err() {
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
            return Try::Again(come_back.unwrap_or(1.0) * (0.7 + 0.6 * rng.f64()));
        }
        _ => return Try::Again(0.6 + 1.5 * rng.f64()),
    }
    loop {
        tokio::select! {
            () = sleep_until(end) => break,
            heard = socket.hear() => match heard {
                Some(ToPlayer::Ended { .. }) | None => return Try::Again(0.6 + 1.5 * rng.f64()),
                Some(ToPlayer::Expiring { .. }) if wish.ticket.as_ref().is_some_and(|t| t.renews) => {
                    let Some(token) = token() else { continue };
                    if socket.say(&FromPlayer::Renew { key: key.clone(), token }).await.is_err() {
                        return Try::Again(0.6 + 1.5 * rng.f64());
                    }
                }
                Some(_) => {}
            },
        }
    }
    if socket.say(&FromPlayer::Stop { key }).await.is_ok() {
        let _ = timeout(Duration::from_secs(2), async {
            while let Some(m) = socket.hear().await {
                if matches!(m, ToPlayer::Ended { .. }) {
                    break;
                }
            }
        })
        .await;
    }
    Try::Done
}
