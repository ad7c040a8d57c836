//! The way to the keeper of seats: its connection, made anew whenever it breaks, and the keeper itself where it runs
//! in this process. Words that find no connection are dropped: the desk says them again.

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

/// s; wait before the keeper is connected again, at first and at most; also the longest wait for a connection.
const WAIT: (f64, f64) = (0.1, 5.0);

/// How long a keeper is waited for that has not read our last words.
const LAST_READ: Duration = Duration::from_millis(500);

/// What a keeper is started with, by its settings.
pub fn keeper_options(keeper: &Keeper, schools: &[School]) -> KeeperOptions {
    KeeperOptions {
        listen: keeper.listen.unwrap_or_else(|| SocketAddr::from((Ipv4Addr::LOCALHOST, 0))),
        ledger: keeper.ledger.clone(),
        lease: LeaseTerms { duration: keeper.lease, clock_error: keeper.clock_error },
        schools: seat_pools(schools),
        agreed: None,
    }
}

/// Schools as a keeper counts them.
pub fn seat_pools(schools: &[School]) -> Vec<(kelpdoor_seats::School, u32)> {
    schools.iter().map(|s| (seat_pool(&s.name, s.seat_class.as_deref()), s.seats)).collect()
}

/// The keeper's address, and the keeper if it runs here.
pub async fn find(keeper: &Keeper, schools: &[School]) -> io::Result<(SocketAddr, Option<RunningKeeper>)> {
    if let Some(address) = keeper.address {
        return Ok((address, None));
    }
    let running = kelpdoor_keeper::start(keeper_options(keeper, schools)).await?;
    Ok((running.address, Some(running)))
}

/// Carries words to and fro until the desk's side is closed and all it said is written.
pub async fn follow(
    address: SocketAddr, inputs: mpsc::Sender<(Instant, Input)>, mut words: mpsc::Receiver<KeeperRequest>,
) {
    let mut wait = WAIT.0;
    loop {
        let limit = Duration::from_secs_f64(WAIT.1);
        let why = match timeout(limit, TcpStream::connect(address)).await {
            Err(_) => "not connected in time".to_owned(),
            Ok(Err(e)) => e.to_string(),
            Ok(Ok(stream)) => {
                let _ = stream.set_nodelay(true);
                tracing::info!(%address, "connected to the keeper of seats");
                let began = Instant::now();
                let Some(why) = talk(stream, &inputs, &mut words).await else { return };
                // One that breaks at once is not tried again at once.
                if began.elapsed().as_secs_f64() > WAIT.1 {
                    wait = WAIT.0;
                }
                why
            }
        };
        tracing::warn!(%why, "no keeper of seats; going on with what is held and lent");
        let until = tokio::time::Instant::now() + Duration::from_secs_f64(wait * (0.5 + fastrand::f64()));
        wait = (wait * 2.0).min(WAIT.1);
        loop {
            tokio::select! {
                () = tokio::time::sleep_until(until) => break,
                word = words.recv() => if word.is_none() { return },
            }
        }
    }
}

/// One connection to its end; `None` when the desk's side is closed.
async fn talk(
    stream: TcpStream, inputs: &mpsc::Sender<(Instant, Input)>, words: &mut mpsc::Receiver<KeeperRequest>,
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
                Ok(_) if !line.ends_with(b"\n") => return "a line too long or cut short".to_owned(),
                Ok(_) => {}
            }
            match serde_json::from_slice::<KeeperServerMessage>(&line) {
                Ok(KeeperServerMessage::Response(word)) => {
                    // Where the desk has ended nobody hears it; what the desk still said is written below.
                    let _ = inputs.send((Instant::now(), Input::Keeper(word))).await;
                }
                Ok(KeeperServerMessage::Error(why)) => return why,
                Ok(KeeperServerMessage::Status { .. }) => {}
                Err(e) => return format!("not a word of a keeper's: {e}"),
            }
        }
    };
    let writer = async {
        let mut text = Vec::new();
        while let Some(word) = words.recv().await {
            text.clear();
            let mut next = Some(word);
            while let Some(word) = next.take() {
                serde_json::to_writer(&mut text, &KeeperClientMessage::Request(word)).expect("plain data");
                text.push(b'\n');
                next = words.try_recv().ok().filter(|_| text.len() < 1 << 16);
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
        // All is written; a keeper that closes in turn has read it too, and may be ended then without losing a seat.
        let _ = timeout(LAST_READ, reader).await;
    }
    why
}
