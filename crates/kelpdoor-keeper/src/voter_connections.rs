//! Client connections to voters, used by directors and by other voters. A connection that breaks or on which nothing is
//! received is replaced. Requests that find no connection are dropped: the caller repeats them.
//!
//! A voter that is slow to accept or to welcome is waited for, while further connections are tried beside the first one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use kelpdoor_agreement::{ClientRequest, MAX_LINE, VoterId, VoterResponse};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

use crate::hedged::open_hedged;

/// Maximum number of requests queued for one connection; further ones are dropped.
const MAX_QUEUED_REQUESTS: usize = 256;
/// First delay before a voter is connected again, in seconds; doubled with each attempt.
const MIN_RECONNECT_DELAY: f64 = 0.05;
/// Longest delay before a voter is connected again, in seconds.
const MAX_RECONNECT_DELAY: f64 = 1.0;
/// Time after which another connection is tried beside one that is not welcomed yet. Requests are dropped from then on.
const HEDGE_DELAY: Duration = Duration::from_millis(500);
/// Time limit of the connections that are tried beside the first one.
const HEDGE_TIMEOUT: Duration = Duration::from_millis(2000);
/// Time without a request after which a ping checks whether the voter still answers.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Time without received data after which the connection is closed: it is half-open, or broken in one direction. Also the
/// time limit of one write.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(2000);

/// An event on a connection to a voter.
#[derive(Debug)]
pub enum ConnectionEvent {
    /// A new connection is up: requests sent on an earlier one get no response any more.
    Connected,
    Response(VoterResponse),
}

struct Connection {
    address: SocketAddr,
    requests: mpsc::Sender<ClientRequest>,
    task: AbortHandle,
}

/// Connections to the voters of an agreed list, which may change. Dropping it closes all of them.
pub struct VoterConnections {
    connections: BTreeMap<VoterId, Connection>,
    tasks: JoinSet<()>,
    fleet: String,
    events: mpsc::Sender<(VoterId, ConnectionEvent)>,
}

impl VoterConnections {
    /// Creates an empty set of connections for voters of `fleet`. Their events are sent to `events`.
    pub fn new(fleet: &str, events: mpsc::Sender<(VoterId, ConnectionEvent)>) -> Self {
        VoterConnections {
            connections: BTreeMap::new(),
            tasks: JoinSet::new(),
            fleet: fleet.to_owned(),
            events,
        }
    }

    /// Keeps a connection to exactly these voters from now on. Returns the voters whose connection was closed because
    /// they are not listed or have another address.
    pub fn dial(&mut self, addresses: BTreeMap<VoterId, SocketAddr>) -> Vec<VoterId> {
        let mut closed = Vec::new();
        self.connections.retain(|voter, connection| {
            let unchanged = addresses.get(voter) == Some(&connection.address);
            if !unchanged {
                connection.task.abort();
                closed.push(*voter);
            }
            unchanged
        });
        while self.tasks.try_join_next().is_some() {}
        for (voter, address) in addresses {
            if !self.connections.contains_key(&voter) {
                let (requests, queue) = mpsc::channel(MAX_QUEUED_REQUESTS);
                let task =
                    maintain_connection(address, self.fleet.clone(), voter, queue, self.events.clone());
                let task = self.tasks.spawn(task);
                self.connections.insert(voter, Connection { address, requests, task });
            }
        }
        closed
    }

    /// Voters to which a connection is maintained, whether or not it is up.
    pub fn voters(&self) -> impl Iterator<Item = VoterId> + use<'_> {
        self.connections.keys().copied()
    }

    /// Whether a connection to `voter` is maintained, even if it is currently down.
    pub fn has(&self, voter: VoterId) -> bool {
        self.connections.contains_key(&voter)
    }

    /// Queues a request. Drops it if no connection to the voter is maintained or its queue is full: the caller repeats it.
    pub fn send(&self, voter: VoterId, request: ClientRequest) {
        if let Some(connection) = self.connections.get(&voter) {
            let _ = connection.requests.try_send(request);
        }
    }
}

/// Connects to the voter and reconnects with an exponential delay, until the sender of `requests` or the receiver of
/// `events` is dropped.
async fn maintain_connection(
    address: SocketAddr, fleet: String, voter: VoterId, mut requests: mpsc::Receiver<ClientRequest>,
    events: mpsc::Sender<(VoterId, ConnectionEvent)>,
) {
    let mut delay = MIN_RECONNECT_DELAY;
    let mut last_reason = String::new();
    loop {
        let started = Instant::now();
        let opening = open_hedged(HEDGE_DELAY, HEDGE_TIMEOUT, || open_connection(address, &fleet, voter));
        let Some(opened) = drop_requests_while_slow(opening, &mut requests).await else { return };
        let reason = match opened {
            Err(reason) => reason,
            Ok(connection) => match run_connection(connection, voter, &mut requests, &events).await {
                Some(reason) => reason,
                None => return,
            },
        };
        if started.elapsed().as_secs_f64() > MAX_RECONNECT_DELAY {
            delay = MIN_RECONNECT_DELAY;
            last_reason.clear();
        }
        // Logged once per failure, not once per attempt.
        if reason != last_reason {
            tracing::warn!(voter = voter.0, %address, why = %reason, "no connection to voter");
            last_reason = reason;
        }
        let until = Instant::now() + Duration::from_secs_f64(delay * (0.5 + fastrand::f64()));
        delay = (delay * 2.0).min(MAX_RECONNECT_DELAY);
        loop {
            tokio::select! {
                () = sleep_until(until) => break,
                request = requests.recv() => if request.is_none() { return },
            }
        }
    }
}

async fn write_request(
    stream: &mut (impl AsyncWriteExt + Unpin), request: &ClientRequest,
) -> Result<(), String> {
    let mut text = serde_json::to_vec(request).expect("plain data");
    text.push(b'\n');
    stream.write_all(&text).await.map_err(|e| e.to_string())
}

/// Waits for a connection, and drops the requests that arrive after [`HEDGE_DELAY`]. Returns `None` if the sender of
/// `requests` is dropped.
async fn drop_requests_while_slow<T>(
    opening: impl Future<Output = T>, requests: &mut mpsc::Receiver<ClientRequest>,
) -> Option<T> {
    let mut opening = std::pin::pin!(opening);
    let slow_at = Instant::now() + HEDGE_DELAY;
    if let Ok(opened) = timeout_at(slow_at, &mut opening).await {
        return Some(opened);
    }
    loop {
        tokio::select! {
            opened = &mut opening => return Some(opened),
            request = requests.recv() => drop(request?),
        }
    }
}

/// A connection on which the voter has sent its welcome.
struct OpenConnection {
    reader: BufReader<OwnedReadHalf>,
    write: OwnedWriteHalf,
    /// Time that it took to open.
    opening_time: Duration,
}

/// Connects to the voter, and waits for its welcome without a time limit.
async fn open_connection(address: SocketAddr, fleet: &str, voter: VoterId) -> Result<OpenConnection, String> {
    let started = Instant::now();
    let stream = TcpStream::connect(address).await.map_err(|e| e.to_string())?;
    let _ = stream.set_nodelay(true);
    let (read, mut write) = stream.into_split();
    write_request(&mut write, &ClientRequest::Hello { fleet: fleet.to_owned() }).await?;
    let mut reader = BufReader::new(read);
    let mut line = Vec::new();
    let n = read_line(&mut reader, &mut line).await;
    match parse_response(n, &line)? {
        VoterResponse::Welcome { me } if me != voter => {
            Err(format!("the voter at this address has number {}, not {}", me.0, voter.0))
        }
        VoterResponse::Welcome { .. } => {
            Ok(OpenConnection { reader, write, opening_time: started.elapsed() })
        }
        _ => Err("the voter sent a response before its welcome".to_owned()),
    }
}

fn parse_response(length: std::io::Result<usize>, line: &[u8]) -> Result<VoterResponse, String> {
    match length {
        Ok(0) => return Err("closed by the voter".to_owned()),
        Err(e) => return Err(e.to_string()),
        Ok(_) if !line.ends_with(b"\n") => return Err("line too long or truncated".to_owned()),
        Ok(_) => {}
    }
    match serde_json::from_slice(line) {
        Err(e) => Err(format!("not a voter response: {e}")),
        Ok(VoterResponse::Fault(reason)) => Err(reason),
        Ok(response) => Ok(response),
    }
}

/// Serves one connection and returns why it ended; `None` if the sender of `requests` or the receiver of `events` is
/// dropped.
async fn run_connection(
    connection: OpenConnection, voter: VoterId, requests: &mut mpsc::Receiver<ClientRequest>,
    events: &mpsc::Sender<(VoterId, ConnectionEvent)>,
) -> Option<String> {
    let OpenConnection { mut reader, mut write, opening_time } = connection;
    let send_event = async |event| events.send((voter, event)).await.ok();
    send_event(ConnectionEvent::Connected).await?;
    let mut line = Vec::new();
    let mut last_received = Instant::now();
    let mut last_sent = last_received;
    // The first response may take as long as the welcome did. The ones after it follow each other like the pings.
    let mut receive_timeout = RECEIVE_TIMEOUT.max(opening_time * 2);
    loop {
        let next_check_at = (last_sent + PING_INTERVAL).min(last_received + receive_timeout);
        tokio::select! {
            // Cancellation-safe: a partial line stays in `line`.
            n = read_line(&mut reader, &mut line) => {
                let response = match parse_response(n, &line) {
                    Ok(response) => response,
                    Err(reason) => return Some(reason),
                };
                line.clear();
                last_received = Instant::now();
                receive_timeout = RECEIVE_TIMEOUT;
                if !matches!(response, VoterResponse::Pong | VoterResponse::Welcome { .. }) {
                    send_event(ConnectionEvent::Response(response)).await?;
                }
            }
            request = requests.recv() => {
                let request = request?;
                match timeout(RECEIVE_TIMEOUT, write_request(&mut write, &request)).await {
                    Err(_) => return Some("the voter does not read".to_owned()),
                    Ok(Err(reason)) => return Some(reason),
                    Ok(Ok(())) => last_sent = Instant::now(),
                }
            }
            () = sleep_until(next_check_at) => {
                if last_received.elapsed() >= receive_timeout {
                    return Some(format!("nothing received for {} s", receive_timeout.as_secs_f64()));
                }
                last_sent = Instant::now();
                match timeout(RECEIVE_TIMEOUT, write_request(&mut write, &ClientRequest::Ping)).await {
                    Err(_) => return Some("the voter does not read".to_owned()),
                    Ok(Err(reason)) => return Some(reason),
                    Ok(Ok(())) => {}
                }
            }
        }
    }
}

/// Appends to `line` until a newline, the maximum length, or the end of the stream.
async fn read_line(
    reader: &mut (impl AsyncBufReadExt + Unpin), line: &mut Vec<u8>,
) -> std::io::Result<usize> {
    let remaining = (MAX_LINE - line.len().min(MAX_LINE)) as u64;
    reader.take(remaining).read_until(b'\n', line).await
}

#[cfg(test)]
mod tests;
