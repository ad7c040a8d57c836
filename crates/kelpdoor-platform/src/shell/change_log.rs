//! Reads the change log: server-sent events over HTTP/1.1, from the last number received.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use eventsource_stream::Eventsource;
use futures_util::{StreamExt, stream};
use http_body_util::{BodyExt, Empty};
use hyper::body::{Bytes, Incoming};
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::TimedInput;
use crate::changes::parse_event;
use crate::core::Input;

/// The change log sends something every second; a stream that is silent for longer is reopened.
const FEED_IDLE_TIMEOUT: Duration = Duration::from_millis(1600);
/// Timeout for connecting to the change log.
const FEED_CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Initial backoff before the change log is requested again.
const FEED_MIN_BACKOFF: Duration = Duration::from_millis(20);
/// Maximum backoff before the change log is requested again.
const FEED_MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum bytes of the change log without a complete event.
const MAX_EVENT_BYTES: usize = 8 << 20;

/// State of an attempt to read the change log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptState {
    Connecting,
    AwaitingAnswer,
    Open,
}

/// Reads one stream of the change log until it ends, falls silent or fails; returns the reason. Keeps `state`
/// up to date.
async fn read_change_stream(
    address: SocketAddr, last: &mut u64, unreadable: &mut Option<u64>, state: &Cell<AttemptState>,
    input_tx: &mpsc::Sender<TimedInput>,
) -> String {
    let stream = match timeout(FEED_CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return e.to_string(),
        Err(_) => return "connection timed out".into(),
    };
    state.set(AttemptState::AwaitingAnswer);
    let (mut request_sender, connection) =
        match hyper::client::conn::http1::handshake(TokioIo::new(stream)).await {
            Ok(parts) => parts,
            Err(e) => return e.to_string(),
        };
    let driver = spawn_local(async move {
        let _ = connection.await;
    });
    let why = async {
        let request = Request::get("/changes")
            .header(header::HOST, address.to_string())
            .header(header::ACCEPT, "text/event-stream")
            .header("Last-Event-ID", last.to_string())
            .body(Empty::<Bytes>::new());
        let request = match request {
            Ok(request) => request,
            Err(e) => return e.to_string(),
        };
        let response = match timeout(FEED_IDLE_TIMEOUT, request_sender.send_request(request)).await {
            Ok(Ok(response)) if response.status() == StatusCode::OK => response,
            Ok(Ok(response)) => return format!("status {}", response.status()),
            Ok(Err(e)) => return e.to_string(),
            Err(_) => return "response timed out".into(),
        };
        state.set(AttemptState::Open);
        let _ = input_tx.send((Instant::now(), Input::ChangeLogFollowed(true))).await;
        read_events(response.into_body(), last, unreadable, input_tx).await
    }
    .await;
    driver.abort();
    why
}

async fn read_events(
    body: Incoming, last: &mut u64, unreadable: &mut Option<u64>, input_tx: &mpsc::Sender<TimedInput>,
) -> String {
    let bytes = Rc::new(Cell::new(0));
    let counted_bytes = bytes.clone();
    let data = stream::unfold(body, move |mut body| {
        let counted_bytes = counted_bytes.clone();
        async move {
            loop {
                let frame = match timeout(FEED_IDLE_TIMEOUT, body.frame()).await {
                    Err(_) => return Some((Err("no data within the idle timeout".to_owned()), body)),
                    Ok(None) => return None,
                    Ok(Some(Err(e))) => return Some((Err(e.to_string()), body)),
                    Ok(Some(Ok(frame))) => frame,
                };
                if let Ok(data) = frame.into_data() {
                    counted_bytes.set(counted_bytes.get() + data.len());
                    let too_long = counted_bytes.get() > MAX_EVENT_BYTES;
                    return Some((
                        if too_long { Err("event exceeds the size limit".to_owned()) } else { Ok(data) },
                        body,
                    ));
                }
            }
        }
    });
    let mut events = std::pin::pin!(data.eventsource());
    loop {
        let event = match events.next().await {
            None => return "the stream ended".into(),
            Some(Err(e)) => return e.to_string(),
            Some(Ok(event)) => event,
        };
        bytes.set(0);
        match parse_event(&event.data) {
            // A duplicate.
            Ok(change) if change.number <= *last => {}
            Ok(change) => {
                *last = change.number;
                let _ = input_tx.send((Instant::now(), Input::Change(change))).await;
            }
            Err(e) => {
                let number = event.id.parse().ok();
                if number.is_some() && *unreadable == number {
                    // The same event was unreadable twice, so another attempt would not help: skips it.
                    *last = (*last).max(number.unwrap_or(0));
                }
                *unreadable = number;
                return format!("unreadable event: {e}");
            }
        }
    }
}

/// Follows the change log, at its current address, from the last number received. Each backoff is jittered
/// down to half, as all directors lose the change log at the same moment.
pub(super) async fn follow_change_log(
    mut feed_address: watch::Receiver<SocketAddr>, mut last: u64, input_tx: mpsc::Sender<TimedInput>,
    mut rng: fastrand::Rng,
) {
    let (mut wait, mut unreadable) = (FEED_MIN_BACKOFF, None);
    let state = Cell::new(AttemptState::Connecting);
    loop {
        if state.replace(AttemptState::Connecting) == AttemptState::Open {
            let _ = input_tx.send((Instant::now(), Input::ChangeLogFollowed(false))).await;
        }
        let address = *feed_address.borrow_and_update();
        let (began, before) = (Instant::now(), last);
        let why = tokio::select! {
            why = read_change_stream(address, &mut last, &mut unreadable, &state, &input_tx) => why,
            _ = feed_address.changed() => continue,
        };
        let (state, milliseconds) = (state.get(), began.elapsed().as_millis());
        tracing::warn!(%address, last, ?state, milliseconds, in_flight = 1, "change log: {why}; reconnecting");
        wait = if last > before || began.elapsed() > FEED_IDLE_TIMEOUT * 2 {
            FEED_MIN_BACKOFF
        } else {
            wait * 2
        };
        wait = wait.min(FEED_MAX_BACKOFF);
        tokio::select! {
            () = sleep(wait.mul_f64(0.5 + 0.5 * rng.f64())) => {}
            _ = feed_address.changed() => feed_address.mark_changed(),
        }
    }
}
