//! A connection kept to a voter, by directors and by the other voters: made anew whenever it breaks or nothing comes back
//! on it. Questions that find no connection are dropped: whoever asked asks again.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use kelpdoor_agreement::{ClientRequest, MAX_LINE, VoterId, VoterResponse};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{Instant, sleep_until, timeout};

/// Questions waiting for a connection at most; more are dropped.
const MOST_OUT: usize = 256;
/// s; wait before a voter is connected again, at first and at most.
const WAIT: (f64, f64) = (0.05, 1.0);
/// A connection is made within this, or tried again.
const CONNECT: Duration = Duration::from_millis(500);
/// A line on which nothing was asked for so long is asked whether it lives.
const PING: Duration = Duration::from_millis(500);
/// Nothing came back for so long: half-open, or cut one way.
const DEAD: Duration = Duration::from_millis(2000);

/// What a line brings.
#[derive(Debug)]
pub enum ConnectionEvent {
    /// A connection is up: what was asked on an earlier one is not answered any more.
    Connected,
    Response(VoterResponse),
}

struct Line {
    at: SocketAddr,
    asks: mpsc::Sender<ClientRequest>,
    task: AbortHandle,
}

/// Lines to voters, as the agreed list changes; ended with it.
pub struct VoterConnections {
    all: BTreeMap<VoterId, Line>,
    tasks: JoinSet<()>,
    fleet: String,
    heard: mpsc::Sender<(VoterId, ConnectionEvent)>,
}

impl VoterConnections {
    /// What lines bring goes to `heard`.
    pub fn new(fleet: &str, heard: mpsc::Sender<(VoterId, ConnectionEvent)>) -> Self {
        VoterConnections { all: BTreeMap::new(), tasks: JoinSet::new(), fleet: fleet.to_owned(), heard }
    }

    /// Keeps a line to each of these and to no other; those that had one elsewhere, or had one before.
    pub fn dial(&mut self, to: BTreeMap<VoterId, SocketAddr>) -> Vec<VoterId> {
        let mut gone = Vec::new();
        self.all.retain(|voter, line| {
            let stays = to.get(voter) == Some(&line.at);
            if !stays {
                line.task.abort();
                gone.push(*voter);
            }
            stays
        });
        while self.tasks.try_join_next().is_some() {}
        for (voter, at) in to {
            if !self.all.contains_key(&voter) {
                let (asks, asked) = mpsc::channel(MOST_OUT);
                let task = line(at, self.fleet.clone(), voter, asked, self.heard.clone());
                let task = self.tasks.spawn(task);
                self.all.insert(voter, Line { at, asks, task });
            }
        }
        gone
    }

    pub fn voters(&self) -> impl Iterator<Item = VoterId> + use<'_> {
        self.all.keys().copied()
    }

    pub fn has(&self, voter: VoterId) -> bool {
        self.all.contains_key(&voter)
    }

    /// Dropped where there is no line, or too much waits on it: whoever asks asks again.
    pub fn ask(&self, voter: VoterId, ask: ClientRequest) {
        if let Some(line) = self.all.get(&voter) {
            let _ = line.asks.try_send(ask);
        }
    }
}

/// Keeps a connection to the voter in that place, until `asks` or `heard` ends. What it brings goes to `heard`.
async fn line(
    address: SocketAddr, fleet: String, place: VoterId, mut asks: mpsc::Receiver<ClientRequest>,
    heard: mpsc::Sender<(VoterId, ConnectionEvent)>,
) {
    let mut wait = WAIT.0;
    let mut last = String::new();
    loop {
        let began = Instant::now();
        let why = match timeout(CONNECT, TcpStream::connect(address)).await {
            Err(_) => "not connected in time".to_owned(),
            Ok(Err(e)) => e.to_string(),
            Ok(Ok(stream)) => match talk(stream, &fleet, place, &mut asks, &heard).await {
                Some(why) => why,
                None => return,
            },
        };
        if began.elapsed().as_secs_f64() > WAIT.1 {
            wait = WAIT.0;
            last.clear();
        }
        // Said once for each time that it breaks, however often it is tried again.
        if why != last {
            tracing::warn!(voter = place.0, %address, %why, "no line to a voter");
            last = why;
        }
        let until = Instant::now() + Duration::from_secs_f64(wait * (0.5 + fastrand::f64()));
        wait = (wait * 2.0).min(WAIT.1);
        loop {
            tokio::select! {
                () = sleep_until(until) => break,
                ask = asks.recv() => if ask.is_none() { return },
            }
        }
    }
}

async fn write(to: &mut (impl AsyncWriteExt + Unpin), ask: &ClientRequest) -> Result<(), String> {
    let mut text = serde_json::to_vec(ask).expect("plain data");
    text.push(b'\n');
    to.write_all(&text).await.map_err(|e| e.to_string())
}

/// One connection to its end; `None` when nobody asks any more.
async fn talk(
    stream: TcpStream, fleet: &str, place: VoterId, asks: &mut mpsc::Receiver<ClientRequest>,
    heard: &mpsc::Sender<(VoterId, ConnectionEvent)>,
) -> Option<String> {
    let _ = stream.set_nodelay(true);
    let (read, mut to) = stream.into_split();
    let hello = ClientRequest::Hello { fleet: fleet.to_owned() };
    if let Err(why) = write(&mut to, &hello).await {
        return Some(why);
    }
    let say = async |what| heard.send((place, what)).await.ok();
    let mut lines = BufReader::new(read);
    let mut line = Vec::new();
    let mut welcome = false;
    let mut came = Instant::now();
    let mut asked = Instant::now();
    loop {
        let quiet = (asked + PING).min(came + DEAD);
        tokio::select! {
            // Safe to be dropped half-way: what was read stands in `line`.
            n = read_line(&mut lines, &mut line) => {
                match n {
                    Ok(0) => return Some("closed by the voter".to_owned()),
                    Err(e) => return Some(e.to_string()),
                    Ok(_) if !line.ends_with(b"\n") => return Some("a line too long or cut short".to_owned()),
                    Ok(_) => {}
                }
                let tell = serde_json::from_slice::<VoterResponse>(&line);
                line.clear();
                came = Instant::now();
                match tell {
                    Err(e) => return Some(format!("not a word of a voter's: {e}")),
                    Ok(VoterResponse::Fault(why)) => return Some(why),
                    Ok(VoterResponse::Welcome { me }) if me != place => {
                        return Some(format!("the voter there has number {}, not {}", me.0, place.0));
                    }
                    Ok(VoterResponse::Welcome { .. }) => {
                        welcome = true;
                        say(ConnectionEvent::Connected).await?;
                    }
                    Ok(VoterResponse::Pong) => {}
                    Ok(_) if !welcome => return Some("it speaks before it welcomes".to_owned()),
                    Ok(tell) => say(ConnectionEvent::Response(tell)).await?,
                }
            }
            ask = asks.recv(), if welcome => {
                let ask = ask?;
                match timeout(DEAD, write(&mut to, &ask)).await {
                    Err(_) => return Some("it does not read".to_owned()),
                    Ok(Err(why)) => return Some(why),
                    Ok(Ok(())) => asked = Instant::now(),
                }
            }
            () = sleep_until(quiet) => {
                if came.elapsed() >= DEAD {
                    return Some(format!("nothing heard for {} s", DEAD.as_secs_f64()));
                }
                asked = Instant::now();
                match timeout(DEAD, write(&mut to, &ClientRequest::Ping)).await {
                    Err(_) => return Some("it does not read".to_owned()),
                    Ok(Err(why)) => return Some(why),
                    Ok(Ok(())) => {}
                }
            }
        }
    }
}

/// Adds to `line` up to its end, its bound, or the connection's end.
async fn read_line(lines: &mut (impl AsyncBufReadExt + Unpin), line: &mut Vec<u8>) -> std::io::Result<usize> {
    let room = (MAX_LINE - line.len().min(MAX_LINE)) as u64;
    lines.take(room).read_until(b'\n', line).await
}
