//! A plain relay as a baseline for the director's load measurement. It uses the same sockets and messages but picks a
//! random node that holds the title; it decides nothing and keeps none of the rules.

use std::collections::HashMap;
use std::path::Path;
use std::sync::{Arc, Mutex};

use anyhow::{Context, Result};
use fastrand::Rng;
use futures_util::{SinkExt, StreamExt};
use kelpdoor_api::{EndReason, FromPlayer, RequestKey, SUBPROTOCOL, ToPlayer};
use kelpdoor_director::{RosterList, RosterMessage, RosterRequest};
use kelpdoor_rtsp::{Message, Method, Request, header_names, parse};
use kelpdoor_script::Deployment;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_tungstenite::tungstenite::handshake::server::{ErrorResponse, Request as UpgradeRequest, Response};
use tokio_tungstenite::tungstenite::http::HeaderValue;
use tokio_tungstenite::tungstenite::protocol::{Message as Frame, WebSocketConfig};

/// Player, key, and whether it was a PLAY (else a TEARDOWN), of a request whose response is pending.
type PendingRequest = (mpsc::UnboundedSender<String>, RequestKey, bool);

#[derive(Default)]
struct State {
    list: RosterList,
    /// Writer of each node's connection, and the CSeq last used on it.
    node_links: HashMap<u32, (mpsc::UnboundedSender<Vec<u8>>, u32)>,
    /// By node and CSeq.
    pending: HashMap<(u32, u32), PendingRequest>,
    /// Node and RTSP session id, by key.
    playing: HashMap<RequestKey, (u32, String)>,
    rng: Rng,
    next_pipeline: u64,
}

type Shared = Arc<Mutex<State>>;

fn lock(s: &Shared) -> std::sync::MutexGuard<'_, State> {
    s.lock().unwrap_or_else(|e| e.into_inner())
}

/// Runs the relay with a director's settings and prints the address on which it listens.
///
/// # Errors
/// If the settings are invalid, or the roster or a node cannot be reached.
pub async fn run(config: &Path) -> Result<()> {
    let deployment = Deployment::read(config).map_err(|f| anyhow::anyhow!("{f:?}"))?;
    let shared: Shared = Arc::default();
    let stream = TcpStream::connect(deployment.roster.address).await.context("connecting to the roster")?;
    let (read, mut write) = stream.into_split();
    let hello = serde_json::to_string(&RosterRequest::Hello { director: 0 })? + "\n";
    write.write_all(hello.as_bytes()).await?;
    let mut lines = BufReader::new(read).lines();
    let first = lines.next_line().await?.context("the roster closed the connection without a list")?;
    let full_list: RosterMessage = serde_json::from_str(&first)?;
    lock(&shared).list.apply(&full_list, &deployment.fleet)?;
    let nodes: Vec<_> = lock(&shared).list.nodes.values().cloned().collect();
    for n in nodes {
        let stream = TcpStream::connect(n.address).await?;
        stream.set_nodelay(true)?;
        let (to, from) = mpsc::unbounded_channel();
        lock(&shared).node_links.insert(n.id, (to, 0));
        tokio::spawn(serve_node(n.id, stream, from, shared.clone()));
    }
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    println!("relay listening on {}", listener.local_addr()?);
    loop {
        let (stream, _) = listener.accept().await?;
        tokio::spawn(serve_player(stream, shared.clone()));
    }
}

/// Reads and writes a node's connection until it closes.
async fn serve_node(
    node: u32, stream: TcpStream, mut from: mpsc::UnboundedReceiver<Vec<u8>>, shared: Shared,
) {
    let (mut read, mut write) = stream.into_split();
    let reader = async {
        let mut buf = Vec::with_capacity(4096);
        loop {
            while let Ok(Some((message, len))) = parse(&buf) {
                buf.drain(..len);
                handle_node_message(node, message, &shared);
            }
            if !matches!(read.read_buf(&mut buf).await, Ok(n) if n > 0) {
                return;
            }
        }
    };
    let writer = async {
        while let Some(bytes) = from.recv().await {
            if write.write_all(&bytes).await.is_err() {
                return;
            }
        }
    };
    tokio::select! { () = reader => {}, () = writer => {} }
}

/// Confirms a node's notification, or passes a response on to the player that waits for it.
fn handle_node_message(node: u32, message: Message, shared: &Shared) {
    let mut s = lock(shared);
    match message {
        Message::Request(r) => {
            let bytes = Message::from(kelpdoor_rtsp::Response::new(200, r.cseq)).to_bytes();
            if let Some((to, _)) = s.node_links.get(&node) {
                let _ = to.send(bytes);
            }
        }
        Message::Response(r) => {
            let Some((to, key, play)) = s.pending.remove(&(node, r.cseq)) else { return };
            let answer = if !play {
                ToPlayer::Ended { key, why: EndReason::Stopped }
            } else if r.ok() {
                let id = r.headers.get(header_names::SESSION).unwrap_or("").to_owned();
                s.playing.insert(key.clone(), (node, id));
                ToPlayer::Playing { key, uri: format!("rtsp://node-{node}/"), rung: 1, resume_for: 0.0 }
            } else {
                ToPlayer::Busy { key, come_back: None }
            };
            let _ = to.send(answer.text());
        }
    }
}

/// Sends a request to a node with the next CSeq.
fn send_request(s: &mut State, node: u32, request: Request, pending_request: Option<PendingRequest>) {
    let Some((to, cseq)) = s.node_links.get_mut(&node) else { return };
    *cseq += 1;
    let request = Request { cseq: *cseq, ..request };
    let _ = to.send(Message::from(request).to_bytes());
    if let Some(pending_request) = pending_request {
        let cseq = s.node_links[&node].1;
        s.pending.insert((node, cseq), pending_request);
    }
}

/// Serves a player's socket until it closes.
async fn serve_player(stream: TcpStream, shared: Shared) {
    let _ = stream.set_nodelay(true);
    #[expect(clippy::result_large_err, reason = "the library's own signature")]
    let check = |_: &UpgradeRequest, mut response: Response| -> Result<Response, ErrorResponse> {
        response.headers_mut().insert("Sec-WebSocket-Protocol", HeaderValue::from_static(SUBPROTOCOL));
        Ok(response)
    };
    let config = WebSocketConfig::default().read_buffer_size(1024).write_buffer_size(0);
    let Ok(ws) = tokio_tungstenite::accept_hdr_async_with_config(stream, check, Some(config)).await else {
        return;
    };
    let (mut sink, mut stream) = ws.split();
    let (to, mut from) = mpsc::unbounded_channel::<String>();
    loop {
        tokio::select! {
            out = from.recv() => {
                let Some(text) = out else { return };
                if sink.send(Frame::text(text)).await.is_err() {
                    return;
                }
            }
            message = stream.next() => {
                let Some(Ok(message)) = message else { return };
                let Frame::Text(text) = message else { continue };
                let Ok(message) = FromPlayer::parse(text.as_str()) else { continue };
                let mut s = lock(&shared);
                match message {
                    FromPlayer::Renew { .. } => {}
                    FromPlayer::Start { key, group, title, .. } => {
                        let Some(t) = s.list.titles.get(&title).cloned() else { continue };
                        let cells = s.list.nodes.len() as u16;
                        let cell = (t.first_cell + s.rng.u16(..t.cells)) % cells;
                        let Some(node) = s.list.nodes.values().find(|n| n.cell == cell).map(|n| n.id) else {
                            continue;
                        };
                        s.next_pipeline += 1;
                        let pipe = s.next_pipeline;
                        let uri = format!("rtsp://node-{node}/{title}");
                        let setup = Request::new(Method::Setup, &uri, 0)
                            .with(header_names::PIPELINED, pipe)
                            .with(header_names::RUNG, 1)
                            .with(header_names::SERVICE_GROUP, group)
                            .with(header_names::REQUEST_KEY, &key.0);
                        send_request(&mut s, node, setup, None);
                        let play = Request::new(Method::Play, &uri, 0).with(header_names::PIPELINED, pipe);
                        send_request(&mut s, node, play, Some((to.clone(), key, true)));
                    }
                    FromPlayer::Stop { key } => {
                        if let Some((node, id)) = s.playing.remove(&key) {
                            let teardown = Request::new(Method::Teardown, "rtsp://node/", 0).with(header_names::SESSION, id);
                            send_request(&mut s, node, teardown, Some((to.clone(), key, false)));
                        }
                    }
                    FromPlayer::Ping { .. } => {}
                }
            }
        }
    }
}
