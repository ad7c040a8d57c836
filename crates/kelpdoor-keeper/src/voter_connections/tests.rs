use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::net::TcpListener;
use tokio::time::sleep;

use super::*;

const VOTER: VoterId = VoterId(3);
/// Time for what follows at once.
const SLACK: Duration = Duration::from_millis(400);

/// A voter that answers each line after `response_time`, and the first `dead` connections never.
#[derive(Clone)]
struct SlowVoter {
    address: SocketAddr,
    open: Arc<AtomicUsize>,
    most_open: Arc<AtomicUsize>,
    accepted: Arc<AtomicUsize>,
}

impl SlowVoter {
    async fn start(response_time: Duration, dead: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let voter =
            SlowVoter { address, open: Arc::default(), most_open: Arc::default(), accepted: Arc::default() };
        let server = voter.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = server.clone();
                let is_dead = server.accepted.fetch_add(1, Ordering::SeqCst) < dead;
                tokio::spawn(async move {
                    let open = server.open.fetch_add(1, Ordering::SeqCst) + 1;
                    server.most_open.fetch_max(open, Ordering::SeqCst);
                    answer(stream, response_time, is_dead).await;
                    server.open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        voter
    }
}

async fn answer(stream: TcpStream, response_time: Duration, is_dead: bool) {
    let (read, mut write) = stream.into_split();
    let (responses, mut queue) = mpsc::unbounded_channel::<(Instant, VoterResponse)>();
    tokio::spawn(async move {
        while let Some((due_at, response)) = queue.recv().await {
            sleep_until(due_at).await;
            let mut text = serde_json::to_vec(&response).expect("plain data");
            text.push(b'\n');
            let _ = write.write_all(&text).await;
        }
    });
    let mut lines = BufReader::new(read).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        let response = match serde_json::from_str(&line).expect("a request") {
            ClientRequest::Hello { .. } => VoterResponse::Welcome { me: VOTER },
            ClientRequest::Content { .. } => VoterResponse::Content { found: None },
            _ => VoterResponse::Pong,
        };
        if !is_dead {
            let _ = responses.send((Instant::now() + response_time, response));
        }
    }
}

struct Client {
    connections: VoterConnections,
    events: mpsc::Receiver<(VoterId, ConnectionEvent)>,
}

impl Client {
    fn new(address: SocketAddr) -> Self {
        let (event_tx, events) = mpsc::channel(64);
        let mut connections = VoterConnections::new("test", event_tx);
        connections.dial(BTreeMap::from([(VOTER, address)]));
        Client { connections, events }
    }

    async fn expect(&mut self, within: Duration, is_expected: impl Fn(&ConnectionEvent) -> bool) {
        let (_, event) =
            timeout(within, self.events.recv()).await.expect("an event in time").expect("it runs");
        assert!(is_expected(&event), "{event:?}");
    }
}

async fn assert_heard(response_time: Duration, dead: usize, connected_within: Duration) {
    let voter = SlowVoter::start(response_time, dead).await;
    let mut client = Client::new(voter.address);
    client.expect(connected_within, |event| matches!(event, ConnectionEvent::Connected)).await;
    client.connections.send(VOTER, ClientRequest::Content { number: 1 });
    let is_response =
        |event: &ConnectionEvent| matches!(event, ConnectionEvent::Response(VoterResponse::Content { .. }));
    client.expect(response_time + SLACK, is_response).await;
    let accepted = voter.accepted.load(Ordering::SeqCst);
    sleep(RECEIVE_TIMEOUT + SLACK).await;
    assert_eq!(voter.accepted.load(Ordering::SeqCst), accepted, "the connection lasts");
    assert_eq!(voter.open.load(Ordering::SeqCst), 1, "no other connection is left");
    assert!(voter.most_open.load(Ordering::SeqCst) <= 2, "one is tried beside the first at a time");
}

// Guards against time limits that a voter that is always slower never meets.
#[tokio::test]
async fn voter_of_any_slowness_is_heard() {
    let heard = |ms| async move {
        let response_time = Duration::from_millis(ms);
        assert_heard(response_time, 0, response_time + SLACK).await;
    };
    tokio::join!(heard(0), heard(600), heard(1900), heard(2600), heard(5000));
}

// Guards against a connection that is silent for good and holds off the next.
#[tokio::test]
async fn connection_that_is_never_welcomed_does_not_hold_off_the_next() {
    let heard = |ms, dead: u32| async move {
        let response_time = Duration::from_millis(ms);
        let tried_at = HEDGE_DELAY + HEDGE_TIMEOUT * (dead - 1);
        assert_heard(response_time, dead as usize, tried_at + response_time + SLACK).await;
    };
    tokio::join!(heard(0, 1), heard(1500, 1), heard(0, 2));
}
