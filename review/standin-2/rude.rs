//! Bad clients.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::common::*;

/// Requests of the usual viewers, ten a second.
const REQUESTS: u64 = 300;
/// The bad clients come with this request.
const BAD_FROM: u64 = 50;
const BAD_CLIENTS: u64 = 4;
const BAD_FOR: Duration = Duration::from_secs(20);
/// Threads that write to one connection, so that the client sends at full speed.
const WRITERS: usize = 2;

/// Connects, sends a message that never ends at full speed, and reads whatever is sent, until the director ends the
/// connection.
fn send_endless(client: u64, to: SocketAddr, until: Instant, record: &Record) -> u64 {
    let Ok(stream) = TcpStream::connect(to) else {
        sleep(ms(10));
        return 0;
    };
    let (began, sent) = (Instant::now(), Arc::new(AtomicU64::new(0)));
    let write = move |(mut stream, sent): (TcpStream, Arc<AtomicU64>)| {
        let chunk = vec![b'x'; 256 << 10];
        while Instant::now() < until && stream.write_all(&chunk).is_ok() {
            sent.fetch_add(chunk.len() as u64, Ordering::Relaxed);
        }
    };
    let streams = (0..WRITERS).filter_map(|_| Some((stream.try_clone().ok()?, sent.clone())));
    let writers: Vec<_> = streams.map(|s| spawn(move || write(s))).collect();
    let (mut reading, mut buf) = (stream, [0; 4096]);
    while let Ok(n) = reading.read(&mut buf) {
        let text = String::from_utf8_lossy(&buf[..n]).into_owned();
        record.line(&format!(
            "bad client {client} <- {text:?} {:.3} s after connecting",
            began.elapsed().as_secs_f64()
        ));
        if n == 0 {
            break;
        }
    }
    writers.into_iter().for_each(|writer| drop(writer.join()));
    let sent = sent.load(Ordering::Relaxed);
    record.line(&format!(
        "bad client {client}: sent {} MB in {:.3} s",
        sent >> 20,
        began.elapsed().as_secs_f64()
    ));
    sent
}

/// Four bad clients send messages that never end, and the same again the moment they are turned away.
pub fn endless_message(record: &Path) -> ! {
    let w = world(record, 4, ms(60), ms(0));
    let viewer = Viewer::connect(w.director.address, "a", &w.record);
    let (requests, all_sent) = (Requests::new(&w, &viewer), Arc::new(AtomicU64::new(0)));
    let requests = requests.run(REQUESTS, |n| {
        if trouble() && n == BAD_FROM {
            let until = Instant::now() + BAD_FOR;
            for k in 0..BAD_CLIENTS {
                let (to, record, all_sent) = (w.director.address, w.record.clone(), all_sent.clone());
                spawn(move || {
                    while Instant::now() < until {
                        let sent = send_endless(k, to, until, &record);
                        all_sent.fetch_add(sent, Ordering::Relaxed);
                    }
                });
            }
        }
    });
    let broken = requests.lost();
    // Messages of 1 MB and more are endless beside the 16 KiB that a message may have.
    let ran = !trouble() || all_sent.load(Ordering::Relaxed) >= BAD_CLIENTS << 20;
    w.verdict(&broken, ran)
}
