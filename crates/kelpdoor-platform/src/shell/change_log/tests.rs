use std::net::Ipv4Addr;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

use super::*;

/// Time for the follower to read what lies in its sockets.
const READ_TIME: Duration = Duration::from_millis(200);
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
const HEADERS: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";

/// How a change log serves a connection.
#[derive(Clone, Copy, Debug)]
struct Service {
    /// From the request to the answer.
    delay: Duration,
    /// Events that exist by then.
    events: u64,
    /// Whether it closes the connection after them.
    closes: bool,
}

fn event(number: u64) -> String {
    format!("id: {number}\ndata: {{\"seq\":{number},\"fleet\":{{\"seq\":{number},\"hosts\":[]}}}}\n\n")
}

async fn serve(mut stream: TcpStream, service: Service) -> Option<()> {
    let mut reader = BufReader::new(&mut stream);
    let (mut line, mut last_event_id) = (String::new(), 0);
    while reader.read_line(&mut line).await.ok()? > 0 && line != "\r\n" {
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("last-event-id:") {
            last_event_id = value.trim().parse().ok()?;
        }
        line.clear();
    }
    sleep(service.delay).await;
    stream.write_all(HEADERS).await.ok()?;
    for number in last_event_id + 1..=service.events {
        stream.write_all(event(number).as_bytes()).await.ok()?;
    }
    while !service.closes && stream.read(&mut [0]).await.ok()? > 0 {}
    Some(())
}

/// Starts a change log that serves its connections in turn as listed, the last way for all further ones.
async fn start_change_log(services: Vec<Service>) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
    let address = listener.local_addr().expect("bound");
    spawn_local(async move {
        for index in 0.. {
            let Ok((stream, _)) = listener.accept().await else { return };
            let service = services[index.min(services.len() - 1)];
            spawn_local(serve(stream, service));
        }
    });
    address
}

/// Follows the change log at `first`, which moves to `second` if there is one, while the queue of inputs takes nothing for
/// `pause`. Returns the numbers of the events that arrive until `last` does.
async fn follow(first: SocketAddr, second: Option<SocketAddr>, pause: Duration, last: u64) -> Vec<u64> {
    let (address_tx, address_rx) = watch::channel(first);
    let (input_tx, mut input_rx) = mpsc::channel(1);
    let (status_tx, _status) = watch::channel(ChangeLogStatus::default());
    let rng = fastrand::Rng::with_seed(1);
    spawn_local(follow_change_log(address_rx, 1, input_tx, rng, status_tx));
    sleep(pause).await;
    if let Some(second) = second {
        address_tx.send_replace(second);
        sleep(pause).await;
    }
    let mut numbers = Vec::new();
    while numbers.last() != Some(&last) {
        match timeout(WAIT_TIMEOUT, input_rx.recv()).await.expect("the last event arrives") {
            Some((_, Input::Change(change))) => numbers.push(change.number),
            Some(_) => {}
            None => break,
        }
    }
    numbers
}

const PROMPT: Service = Service { delay: Duration::ZERO, events: 2, closes: false };

// Guards against an event that is lost as its reader is dropped while the queue is full (review/3).
#[tokio::test]
async fn event_in_hand_is_not_lost_when_the_address_changes() {
    let test = async {
        for pause in [Duration::ZERO, READ_TIME] {
            let old = start_change_log(vec![PROMPT]).await;
            let new = start_change_log(vec![Service { events: 3, ..PROMPT }]).await;
            assert_eq!(follow(old, Some(new), pause, 3).await, [2, 3], "the queue was full for {pause:?}");
        }
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn event_in_hand_is_not_lost_when_its_stream_ends() {
    let test = async {
        for pause in [Duration::ZERO, READ_TIME] {
            let closing = Service { closes: true, ..PROMPT };
            let address = start_change_log(vec![closing, Service { events: 3, ..PROMPT }]).await;
            assert_eq!(follow(address, None, pause, 3).await, [2, 3], "the queue was full for {pause:?}");
        }
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn event_that_two_attempts_deliver_arrives_once() {
    let test = async {
        // The first attempt is answered after the second one has begun, and at the same time.
        for first_delay in [1800, 2500] {
            let slow = Service { delay: Duration::from_millis(first_delay), ..PROMPT };
            let further = Service { delay: Duration::from_millis(200), ..PROMPT };
            let last = Service { events: 3, ..PROMPT };
            let address = start_change_log(vec![slow, further, last]).await;
            let pause = Duration::from_millis(first_delay + 1000);
            let numbers = follow(address, None, pause, 3).await;
            assert_eq!(numbers, [2, 3], "first answer after {first_delay} ms");
        }
    };
    LocalSet::new().run_until(test).await;
}
