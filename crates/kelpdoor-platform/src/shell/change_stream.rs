//! One attempt to read the change log: server-sent events over HTTP/1.1, from the event after a given one on.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use eventsource_stream::Eventsource;
use futures_util::{Stream, StreamExt, stream};
use http_body_util::{BodyExt, Empty};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1;
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio_util::io::InspectReader;

use crate::attempts::{Activity, AttemptId};
use crate::changes::{FleetChange, parse_event};

/// Maximum bytes of the change log without a complete event.
const MAX_EVENT_BYTES: usize = 8 << 20;

/// Why an attempt ended.
#[derive(Debug, thiserror::Error)]
pub(super) enum AttemptError {
    #[error("{0}")]
    Connect(std::io::Error),
    #[error("{0}")]
    Http(hyper::Error),
    #[error("the request cannot be written: {0}")]
    Request(hyper::http::Error),
    #[error("status {0}")]
    Status(StatusCode),
    /// An event is too long, alone or with the incomplete events of other attempts that hold more.
    #[error("event exceeds the size limit")]
    EventTooLong,
    #[error("not a stream of server-sent events: {0}")]
    Syntax(String),
    #[error("unreadable event: {why}")]
    Unreadable {
        /// Number of the event, if that could be read.
        number: Option<u64>,
        why: String,
    },
    #[error("the stream ended")]
    StreamEnded,
}

/// What an attempt reports.
#[derive(Debug)]
pub(super) enum Report {
    /// Its connection is up, and the request on its way.
    Connected,
    /// The request is granted, and the stream open.
    Answered,
    Event(FleetChange),
    /// It is over; nothing follows.
    Ended(AttemptError),
}

/// What an attempt needs to know, and what it shares with its owner.
pub(super) struct StreamContext {
    pub address: SocketAddr,
    /// Number of the event after which the stream is to begin.
    pub last_event: u64,
    /// Times in `activity` count from here.
    pub started_at: Instant,
    pub activity: Rc<RefCell<Activity>>,
    /// Bytes of incomplete events, of all attempts.
    pub buffered_bytes: Rc<Cell<usize>>,
}

impl StreamContext {
    fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }
}

/// Reads one stream of the change log until it ends or fails, and returns why. It has no time-out: its owner drops it.
pub(super) async fn read_change_stream(
    context: StreamContext, id: AttemptId, report_tx: &mpsc::Sender<(AttemptId, Report)>,
) -> AttemptError {
    match try_read(Rc::new(context), id, report_tx).await {
        Ok(()) => AttemptError::StreamEnded,
        Err(error) => error,
    }
}

async fn try_read(
    context: Rc<StreamContext>, id: AttemptId, report_tx: &mpsc::Sender<(AttemptId, Report)>,
) -> Result<(), AttemptError> {
    let stream = TcpStream::connect(context.address).await.map_err(AttemptError::Connect)?;
    let _ = report_tx.send((id, Report::Connected)).await;
    let inspecting = context.clone();
    let stream = InspectReader::new(stream, move |bytes: &[u8]| {
        if !bytes.is_empty() {
            inspecting.activity.borrow_mut().record_bytes(inspecting.now());
        }
    });
    let (mut request_sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(AttemptError::Http)?;
    // Ends with this future.
    let mut driver = JoinSet::new();
    driver.spawn_local(async move {
        let _ = connection.await;
    });
    let request = Request::get("/changes")
        .header(header::HOST, context.address.to_string())
        .header(header::ACCEPT, "text/event-stream")
        .header("Last-Event-ID", context.last_event.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(AttemptError::Request)?;
    let response = request_sender.send_request(request).await.map_err(AttemptError::Http)?;
    if response.status() != StatusCode::OK {
        return Err(AttemptError::Status(response.status()));
    }
    let _ = report_tx.send((id, Report::Answered)).await;
    read_events(response.into_body(), context, id, report_tx).await
}

/// Bytes of the incomplete event of one attempt.
struct EventBuffer {
    held: usize,
    total: Rc<Cell<usize>>,
}

impl EventBuffer {
    fn add(&mut self, bytes: usize) -> Result<(), AttemptError> {
        self.held += bytes;
        self.total.set(self.total.get() + bytes);
        let is_smaller = self.held * 2 < self.total.get();
        if self.held > MAX_EVENT_BYTES || self.total.get() > MAX_EVENT_BYTES && is_smaller {
            return Err(AttemptError::EventTooLong);
        }
        Ok(())
    }

    fn clear(&mut self) {
        self.total.set(self.total.get() - std::mem::take(&mut self.held));
    }
}

impl Drop for EventBuffer {
    fn drop(&mut self) {
        self.clear();
    }
}

/// The bytes of the stream; an error ends it.
fn body_bytes(
    body: Incoming, context: Rc<StreamContext>, buffer: Rc<RefCell<EventBuffer>>,
) -> impl Stream<Item = Result<Bytes, AttemptError>> {
    stream::unfold(body, move |mut body| {
        let (context, buffer) = (context.clone(), buffer.clone());
        async move {
            loop {
                let frame = match body.frame().await? {
                    Ok(frame) => frame,
                    Err(e) => return Some((Err(AttemptError::Http(e)), body)),
                };
                if let Ok(data) = frame.into_data() {
                    context.activity.borrow_mut().record_stream(context.now(), &data);
                    let added = buffer.borrow_mut().add(data.len());
                    return Some((added.map(|()| data), body));
                }
            }
        }
    })
}

async fn read_events(
    body: Incoming, context: Rc<StreamContext>, id: AttemptId, report_tx: &mpsc::Sender<(AttemptId, Report)>,
) -> Result<(), AttemptError> {
    let buffer = EventBuffer { held: 0, total: context.buffered_bytes.clone() };
    let buffer = Rc::new(RefCell::new(buffer));
    let mut events = std::pin::pin!(body_bytes(body, context, buffer.clone()).eventsource());
    while let Some(event) = events.next().await {
        let event = match event {
            Ok(event) => event,
            Err(eventsource_stream::EventStreamError::Transport(error)) => return Err(error),
            Err(other) => return Err(AttemptError::Syntax(other.to_string())),
        };
        buffer.borrow_mut().clear();
        let change = parse_event(&event.data)
            .map_err(|why| AttemptError::Unreadable { number: event.id.parse().ok(), why })?;
        let _ = report_tx.send((id, Report::Event(change))).await;
    }
    Ok(())
}
