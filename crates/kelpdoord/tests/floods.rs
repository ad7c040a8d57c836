//! Peers that take more than their share: each test runs one director with 32 MB and a flooding peer on real connections, and
//! checks the director's memory and the answers of another viewer meanwhile.

mod platform;

use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{JoinHandle, spawn};
use std::time::{Duration, Instant};

use platform::{AUTO_ANSWERED, Harness, Viewer, finish_line, start_line, start_line_with_blob};

/// The director's memory limit in its configuration.
const MEMORY_LIMIT_KB: u64 = 32 << 10;
/// An answer up to half a second late still counts, and no test here lets an answer take any time of its own.
const MAX_DELAY: Duration = Duration::from_millis(500);
/// Interval of the other viewer's requests.
const PROBE_INTERVAL: Duration = Duration::from_millis(20);

/// What the other viewer got.
#[derive(Debug, Default)]
struct ProbeReport {
    served: usize,
    not_served: Vec<String>,
    worst_delay: Duration,
}

/// A viewer that requests and ends a session again and again, while another peer floods the director.
struct Probe {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<ProbeReport>,
}

impl Probe {
    fn start(port: u16) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = spawn(move || {
            let mut viewer = Viewer::new(port);
            let mut report = ProbeReport::default();
            for id in AUTO_ANSWERED.. {
                if stopped.load(Ordering::Relaxed) {
                    break;
                }
                let sent = Instant::now();
                viewer.start(id, "open");
                match viewer.next_message(id) {
                    Some(v) if v["verb"] == "STARTED" => report.served += 1,
                    other => report.not_served.push(format!("{other:?}")),
                }
                report.worst_delay = report.worst_delay.max(sent.elapsed());
                if !viewer.try_send(&finish_line(id)) {
                    break;
                }
                std::thread::sleep(PROBE_INTERVAL);
            }
            report
        });
        Probe { stop, thread }
    }

    fn finish(self) -> ProbeReport {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().expect("the probe ends")
    }
}

/// A director whose nodes are no longer taken for cold.
fn warm_director() -> Harness {
    let mut harness = Harness::new(1);
    Harness::elapse(1500);
    harness.barrier();
    harness
}

/// Floods run one after another, as they would slow each other down.
static ONE_FLOOD: Mutex<()> = Mutex::new(());

/// Floods the director and checks that it stays within its memory limit and answers another viewer in time.
fn check_flood(name: &str, mut harness: Harness, flood: impl FnOnce(&mut Harness)) {
    let _one_flood = ONE_FLOOD.lock().unwrap_or_else(PoisonError::into_inner);
    let probe = Probe::start(harness.port);
    Harness::elapse(200);
    flood(&mut harness);
    Harness::elapse(200);
    let report = probe.finish();
    let peak = harness.peak_memory_kb();
    println!(
        "{name}: served {}, worst delay {:.0} ms, peak memory {peak} kB",
        report.served,
        report.worst_delay.as_secs_f64() * 1e3
    );
    assert!(!harness.has_exited(), "{name}: the director ended\n{}", harness.log());
    assert!(report.not_served.is_empty(), "{name}: {:?}", report.not_served);
    assert!(report.worst_delay <= MAX_DELAY, "{name}: {:?}", report.worst_delay);
    assert!(peak <= MEMORY_LIMIT_KB, "{name}: {peak} kB");
}

fn connect(port: u16) -> TcpStream {
    TcpStream::connect((Ipv4Addr::LOCALHOST, port)).expect("a connection")
}

/// Sends a message that never ends on one connection, as fast as the director takes it, until it ends the connection.
fn send_endless_message(port: u16, until: Instant) {
    const WRITERS: usize = 2;
    let mut stream = connect(port);
    let writers: Vec<_> = (0..WRITERS)
        .map(|_| {
            let mut stream = stream.try_clone().expect("the same");
            spawn(move || {
                let chunk = vec![b'x'; 256 << 10];
                while Instant::now() < until && stream.write_all(&chunk).is_ok() {}
            })
        })
        .collect();
    let mut buf = [0; 4096];
    while stream.read(&mut buf).is_ok_and(|n| n > 0) {}
    writers.into_iter().for_each(|writer| writer.join().expect("the writer ends"));
}

// Guards against a connection whose input is discarded before its close, and that lets nobody else run meanwhile.
#[test]
fn clients_that_send_endless_messages_do_not_delay_others() {
    check_flood("endless messages", warm_director(), |harness| {
        let (port, until) = (harness.port, Instant::now() + Duration::from_secs(5));
        let client = move || {
            while Instant::now() < until {
                send_endless_message(port, until);
            }
        };
        let clients: Vec<_> = (0..4).map(|_| spawn(client)).collect();
        clients.into_iter().for_each(|client| client.join().expect("the client ends"));
    });
}

/// Descriptors of a director with places for hundreds of clients.
const MANY_SOCKETS: u64 = 1024;
/// Clients that are connected at once; they take almost all places of the director.
const CLIENTS: usize = 480;
/// Duration of each flood.
const FLOOD_TIME: Duration = Duration::from_secs(4);

/// Like [`warm_director`], with places for hundreds of clients.
fn large_director() -> Harness {
    let mut harness = Harness::with(1, MANY_SOCKETS, |_| {});
    Harness::elapse(1500);
    harness.barrier();
    harness
}

/// One client among hundreds: what it still has to write on its connection.
struct SlowClient {
    stream: TcpStream,
    written: usize,
}

/// Keeps hundreds of connections open. Each writes `text` in pieces, one for each turn of all of them, and then waits;
/// one that the director closes is opened again.
fn write_from_hundreds(port: u16, text: &[u8], piece: usize) {
    let open = || {
        let stream = connect(port);
        stream.set_nonblocking(true).expect("set");
        SlowClient { stream, written: 0 }
    };
    let mut clients: Vec<SlowClient> = (0..CLIENTS).map(|_| open()).collect();
    let until = Instant::now() + FLOOD_TIME;
    let mut received = [0; 4096];
    while Instant::now() < until {
        for client in &mut clients {
            let rest = &text[client.written..];
            match client.stream.write(&rest[..piece.min(rest.len())]) {
                Ok(n) => client.written += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(_) => *client = open(),
            }
            let closed = match client.stream.read(&mut received) {
                Ok(n) => n == 0,
                Err(e) => e.kind() != ErrorKind::WouldBlock,
            };
            if closed {
                *client = open();
            }
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// A START of the largest size.
fn large_start(id: u64) -> String {
    start_line_with_blob(id, "open", 4000, &"x".repeat(15 << 10))
}

/// A START with very many short fields, which no node is asked for.
fn start_with_many_fields(id: u64) -> String {
    let fields: String = (0..1200).map(|n| format!("\"f{n}\":\"{n}\",")).collect();
    start_line(id, "none", 4000).replace("\"opts\":{", &format!("\"opts\":{{{fields}"))
}

// Guards against memory for input that grows with the number of clients: slow ones, and ones that stop half way.
#[test]
fn hundreds_of_slow_and_half_written_requests_stay_within_the_memory_limit() {
    let line = large_start(1);
    let almost_all = &line.as_bytes()[..line.len() - 1];
    check_flood("half a large request", large_director(), |harness| {
        write_from_hundreds(harness.port, almost_all, almost_all.len());
    });
    check_flood("slow writers", large_director(), |harness| {
        write_from_hundreds(harness.port, almost_all, 32);
    });
}

#[test]
fn hundreds_of_requests_with_many_short_fields_stay_within_the_memory_limit() {
    let line = start_with_many_fields(1);
    assert!((14 << 10..16 << 10).contains(&line.len()), "{} bytes", line.len());
    check_flood("many short fields", large_director(), |harness| {
        write_from_hundreds(harness.port, line.as_bytes(), line.len());
    });
}

// Guards against sums of limits beyond the memory limit: input, descriptions and output at the same time.
#[test]
fn hundreds_of_large_requests_stay_within_the_memory_limit() {
    let lines: String = (1..=8).map(large_start).collect();
    let almost_all = &lines.as_bytes()[..lines.len() - 1];
    check_flood("large requests", large_director(), |harness| {
        write_from_hundreds(harness.port, almost_all, almost_all.len());
    });
}

/// Sends lines on one connection as fast as the director takes them, and reads what it is sent. Connects again whenever
/// the director closes the connection. `first` opens each connection, `line` makes each line from its number.
fn flood_connection(port: u16, first: &str, line: impl Fn(u64) -> String) {
    const LINES_AT_ONCE: u64 = 100;
    let until = Instant::now() + FLOOD_TIME;
    let mut lines = 0;
    while Instant::now() < until {
        let mut stream = connect(port);
        let mut reading = stream.try_clone().expect("the same");
        let reader = spawn(move || {
            let mut received = [0; 64 << 10];
            while reading.read(&mut received).is_ok_and(|n| n > 0) {}
        });
        // The director may close the connection at any moment.
        let _ = stream.write_all(first.as_bytes());
        while Instant::now() < until {
            let text: String = (lines..lines + LINES_AT_ONCE).map(&line).collect();
            lines += LINES_AT_ONCE;
            if stream.write_all(text.as_bytes()).is_err() {
                break;
            }
        }
        let _ = stream.shutdown(std::net::Shutdown::Both);
        reader.join().expect("the reader ends");
    }
    println!("{lines} lines");
}

/// An id that the nodes answer, and that differs from those of the other viewer.
fn flooding_id(n: u64) -> u64 {
    2 * AUTO_ANSWERED - 1 - n
}

// Guards against one client at full speed that makes others wait or the memory grow: tests, unsound lines, and requests
// under ever new names.
#[test]
fn client_that_sends_small_requests_at_full_speed_does_not_delay_others() {
    let echo = "{\"verb\":\"ECHO\",\"tag\":\"00000000000000aa\",\"opts\":{},\"rc\":0}\n";
    check_flood("echo requests", warm_director(), |harness| {
        flood_connection(harness.port, "", |_| echo.to_owned());
    });
    // Its open set-up keeps the connection open.
    let open = start_line(1, "open", 600_000);
    check_flood("empty lines beside an open set-up", warm_director(), |harness| {
        flood_connection(harness.port, &open, |_| "\n".to_owned());
    });
    check_flood("unknown groups", warm_director(), |harness| {
        flood_connection(harness.port, "", |n| start_line(flooding_id(n), "none", 4000));
    });
    let new_name = |n: u64| {
        let id = flooding_id(n);
        start_line(id, "open", 4000).replace("7f3a9c21e0b4d655", &format!("title-{id:x}")) + &finish_line(id)
    };
    check_flood("requests under new names", warm_director(), |harness| {
        flood_connection(harness.port, "", new_name);
    });
}

// Guards against requests that are sent on long after their client has left, as much before its close is unread.
#[test]
fn requests_of_a_client_that_left_are_not_sent_on() {
    // "No attempt begins over 0.1 s after its client left", and time limits are 50 ms longer on sockets.
    const LATEST_SETUP: Duration = Duration::from_millis(150);
    let ids = 2 * AUTO_ANSWERED - 20_000..2 * AUTO_ANSWERED;
    let starts: String = ids.clone().map(|id| start_line(id, "open", 4000)).collect();
    check_flood("requests of a client that left", warm_director(), |harness| {
        let mut stream = connect(harness.port);
        stream.write_all(starts.as_bytes()).expect("written");
        drop(stream);
        let left_at = Instant::now();
        Harness::elapse(500);
        harness.record_pending_events();
        let of_client = harness.setups.iter().filter(|setup| ids.contains(&setup.id));
        let delays = of_client.map(|setup| setup.at.saturating_duration_since(left_at));
        let late = delays.max().unwrap_or_default();
        println!("last SETUP {:.0} ms after the client left", late.as_secs_f64() * 1e3);
        assert!(late <= LATEST_SETUP, "{late:?}");
    });
}

/// Writes bytes on a connection again and again until its peer ends it; returns whether it did before `until`.
fn write_noise(mut stream: TcpStream, noise: &[u8], until: Instant) -> bool {
    while Instant::now() < until {
        if stream.write_all(noise).is_err() {
            return true;
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
    false
}

// Guards against bytes of a node that are kept and searched again with each read, as they neither are a message nor exceed
// a limit.
#[test]
fn node_that_sends_noise_without_end_does_not_delay_others() {
    let head = "RTSP/1.0 200 OK\r\nCSeq: 1\r\n";
    let noises = [
        ("empty lines", "", "\r\n"),
        ("one line", "", "x"),
        ("header fields", head, "A: b\r\n"),
        ("body", "RTSP/1.0 200 OK\r\nCSeq: 1\r\nContent-Length: 3000000000\r\n\r\n", "x"),
    ];
    for (name, start, noise) in noises {
        let mut harness = Harness::new(2);
        Harness::elapse(1500);
        harness.barrier();
        check_flood(name, harness, |harness| {
            let mut viewer = harness.viewer();
            viewer.send(&start_line(1, "open", 4000).replace("home:0", "home:1"));
            let setup = harness.next_setup(1);
            harness.write(setup.node, setup.conn, start.as_bytes());
            let stream = harness.node_stream(setup.node, setup.conn);
            let chunk = noise.repeat((64 << 10) / noise.len());
            let closed = write_noise(stream, chunk.as_bytes(), Instant::now() + Duration::from_secs(3));
            assert!(closed, "{name}: the connection stays open");
        });
    }
}
