//! Client of the keeper of seats: reconnects whenever the connection breaks, and starts the keeper if it runs in this
//! process. Requests that find no connection are dropped: the director's core repeats them.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use kelpdoor_keeper::{KeeperClientMessage, KeeperOptions, KeeperServerMessage, RunningKeeper};
use kelpdoor_script::{Keeper, School};
use kelpdoor_seats::{KeeperRequest, LeaseTerms};
use kelpdoor_tokens::seat_pool;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::effect::Input;
use crate::roster::MAX_LINE;

/// First delay before the keeper is connected again, in seconds; doubled with each attempt.
const MIN_RECONNECT_DELAY: f64 = 0.1;
/// Longest delay before the keeper is connected again, in seconds; also the time limit for connecting.
const MAX_RECONNECT_DELAY: f64 = 5.0;

/// Time limit at shutdown for the keeper to read the last requests and close the connection.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Options to start a keeper with these settings.
pub fn keeper_options(keeper: &Keeper, schools: &[School]) -> KeeperOptions {
    KeeperOptions {
        listen: keeper.listen.unwrap_or_else(|| SocketAddr::from((Ipv4Addr::LOCALHOST, 0))),
        ledger: keeper.ledger.clone(),
        lease: LeaseTerms { duration: keeper.lease, clock_error: keeper.clock_error },
        schools: seat_pools(schools),
        agreed: None,
    }
}

/// The seats of each school, by the name under which a keeper counts them.
pub fn seat_pools(schools: &[School]) -> Vec<(kelpdoor_seats::School, u32)> {
    schools.iter().map(|s| (seat_pool(&s.name, s.seat_class.as_deref()), s.seats)).collect()
}

/// Returns the keeper's address, and the keeper if it runs in this process, which this starts.
///
/// # Errors
/// If the keeper cannot be started.
pub async fn resolve_or_start(
    keeper: &Keeper, schools: &[School],
) -> io::Result<(SocketAddr, Option<RunningKeeper>)> {
    if let Some(address) = keeper.address {
        return Ok((address, None));
    }
    let running = kelpdoor_keeper::start(keeper_options(keeper, schools)).await?;
    Ok((running.address, Some(running)))
}

/// Carries requests and responses until the sender of `requests` is dropped and all requests are written.
pub async fn run_client(
    address: SocketAddr, inputs: mpsc::Sender<(Instant, Input)>, mut requests: mpsc::Receiver<KeeperRequest>,
) {
    let mut delay = MIN_RECONNECT_DELAY;
    loop {
        let connect_timeout = Duration::from_secs_f64(MAX_RECONNECT_DELAY);
        let why = match timeout(connect_timeout, TcpStream::connect(address)).await {
            Err(_) => "connection attempt timed out".to_owned(),
            Ok(Err(e)) => e.to_string(),
            Ok(Ok(stream)) => {
                let _ = stream.set_nodelay(true);
                tracing::info!(%address, "connected to the keeper of seats");
                let started = Instant::now();
                let Some(why) = run_connection(stream, &inputs, &mut requests).await else { return };
                // The delay is kept for a connection that breaks at once.
                if started.elapsed().as_secs_f64() > MAX_RECONNECT_DELAY {
                    delay = MIN_RECONNECT_DELAY;
                }
                why
            }
        };
        tracing::warn!(%why, "no connection to the keeper of seats; continuing with held and leased seats");
        let until = tokio::time::Instant::now() + Duration::from_secs_f64(delay * (0.5 + fastrand::f64()));
        delay = (delay * 2.0).min(MAX_RECONNECT_DELAY);
        loop {
            tokio::select! {
                () = tokio::time::sleep_until(until) => break,
                request = requests.recv() => if request.is_none() { return },
            }
        }
    }
}

/// Serves one connection and returns why it ended; `None` if the sender of `requests` is dropped.
async fn run_connection(
    stream: TcpStream, inputs: &mpsc::Sender<(Instant, Input)>, requests: &mut mpsc::Receiver<KeeperRequest>,
) -> Option<String> {
    let (read, mut write) = stream.into_split();
    let reader = async {
        let mut lines = BufReader::new(read);
        let mut line = Vec::new();
        loop {
            line.clear();
            match (&mut lines).take(MAX_LINE as u64).read_until(b'\n', &mut line).await {
                Ok(0) => return "closed by the keeper".to_owned(),
                Err(e) => return e.to_string(),
                Ok(_) if !line.ends_with(b"\n") => return "line too long or truncated".to_owned(),
                Ok(_) => {}
            }
            match serde_json::from_slice::<KeeperServerMessage>(&line) {
                Ok(KeeperServerMessage::Response(response)) => {
                    // If the core has ended, the response is dropped; the writer below still writes the last requests.
                    let _ = inputs.send((Instant::now(), Input::Keeper(response))).await;
                }
                Ok(KeeperServerMessage::Error(why)) => return why,
                Ok(KeeperServerMessage::Status { .. }) => {}
                Err(e) => return format!("not a keeper message: {e}"),
            }
        }
    };
    let writer = async {
        let mut text = Vec::new();
        while let Some(request) = requests.recv().await {
            text.clear();
            let mut next = Some(request);
            while let Some(request) = next.take() {
                serde_json::to_writer(&mut text, &KeeperClientMessage::Request(request)).expect("plain data");
                text.push(b'\n');
                next = requests.try_recv().ok().filter(|_| text.len() < 1 << 16);
            }
            if let Err(e) = write.write_all(&text).await {
                return Some(e.to_string());
            }
        }
        let _ = write.shutdown().await;
        None
    };
    let mut reader = std::pin::pin!(reader);
    let why = tokio::select! {
        why = &mut reader => return Some(why),
        why = writer => why,
    };
    if why.is_none() {
        // Everything is written. When the keeper closes its side, it has read everything, and can be ended without losing a
        // released seat.
        let _ = timeout(CLOSE_TIMEOUT, reader).await;
    }
    why
}
