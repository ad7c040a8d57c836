//! Client connections to voters, used by directors and by other voters. A connection that breaks or on which nothing is
//! received is replaced. Requests that find no connection are dropped: the caller repeats them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use kelpdoor_agreement::{ClientRequest, MAX_LINE, VoterId, VoterResponse};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{Instant, sleep_until, timeout};

/// Maximum number of requests queued for one connection; further ones are dropped.
const MAX_QUEUED_REQUESTS: usize = 256;
/// First delay before a voter is connected again, in seconds; doubled with each attempt.
const MIN_RECONNECT_DELAY: f64 = 0.05;
/// Longest delay before a voter is connected again, in seconds.
const MAX_RECONNECT_DELAY: f64 = 1.0;
/// Time limit for connecting; then the attempt is repeated.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
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
        let reason = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Err(_) => "connection attempt timed out".to_owned(),
            Ok(Err(e)) => e.to_string(),
            Ok(Ok(stream)) => match run_connection(stream, &fleet, voter, &mut requests, &events).await {
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

/// Serves one connection and returns why it ended; `None` if the sender of `requests` or the receiver of `events` is
/// dropped.
async fn run_connection(
    stream: TcpStream, fleet: &str, voter: VoterId, requests: &mut mpsc::Receiver<ClientRequest>,
    events: &mpsc::Sender<(VoterId, ConnectionEvent)>,
) -> Option<String> {
    let _ = stream.set_nodelay(true);
    let (read, mut write) = stream.into_split();
    let hello = ClientRequest::Hello { fleet: fleet.to_owned() };
    if let Err(reason) = write_request(&mut write, &hello).await {
        return Some(reason);
    }
    let send_event = async |event| events.send((voter, event)).await.ok();
    let mut reader = BufReader::new(read);
    let mut line = Vec::new();
    let mut welcomed = false;
    let mut last_received = Instant::now();
    let mut last_sent = Instant::now();
    loop {
        let next_check_at = (last_sent + PING_INTERVAL).min(last_received + RECEIVE_TIMEOUT);
        tokio::select! {
            // Cancellation-safe: a partial line stays in `line`.
            n = read_line(&mut reader, &mut line) => {
                match n {
                    Ok(0) => return Some("closed by the voter".to_owned()),
                    Err(e) => return Some(e.to_string()),
                    Ok(_) if !line.ends_with(b"\n") => return Some("line too long or truncated".to_owned()),
                    Ok(_) => {}
                }
                let response = serde_json::from_slice::<VoterResponse>(&line);
                line.clear();
                last_received = Instant::now();
                match response {
                    Err(e) => return Some(format!("not a voter response: {e}")),
                    Ok(VoterResponse::Fault(reason)) => return Some(reason),
                    Ok(VoterResponse::Welcome { me }) if me != voter => {
                        return Some(format!("the voter at this address has number {}, not {}", me.0, voter.0));
                    }
                    Ok(VoterResponse::Welcome { .. }) => {
                        welcomed = true;
                        send_event(ConnectionEvent::Connected).await?;
                    }
                    Ok(VoterResponse::Pong) => {}
                    Ok(_) if !welcomed => return Some("the voter sent a response before its welcome".to_owned()),
                    Ok(response) => send_event(ConnectionEvent::Response(response)).await?,
                }
            }
            request = requests.recv(), if welcomed => {
                let request = request?;
                match timeout(RECEIVE_TIMEOUT, write_request(&mut write, &request)).await {
                    Err(_) => return Some("the voter does not read".to_owned()),
                    Ok(Err(reason)) => return Some(reason),
                    Ok(Ok(())) => last_sent = Instant::now(),
                }
            }
            () = sleep_until(next_check_at) => {
                if last_received.elapsed() >= RECEIVE_TIMEOUT {
                    return Some(format!("nothing received for {} s", RECEIVE_TIMEOUT.as_secs_f64()));
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
