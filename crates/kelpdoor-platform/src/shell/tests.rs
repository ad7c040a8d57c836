use std::cell::Cell;

use super::connection::*;
use super::output::*;
use super::*;

#[test]
fn connect_errors_are_classified_by_what_they_prove_about_the_node() {
    let classify = |code: i32| classify_connect_error(Some(&io::Error::from_raw_os_error(code)));
    assert_eq!(classify(libc::ECONNREFUSED), ConnectFailure::Refused);
    assert_eq!([classify(libc::EMFILE), classify(libc::EADDRNOTAVAIL)], [ConnectFailure::LocalResources; 2]);
    assert_eq!(
        [classify(libc::EHOSTUNREACH), classify_connect_error(None)],
        [ConnectFailure::Unreachable; 2]
    );
}

async fn connected_pair() -> (Rc<TcpStream>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let local = TcpStream::connect(listener.local_addr().expect("an address")).await.expect("connected");
    (Rc::new(local), listener.accept().await.expect("accepted").0)
}

#[tokio::test]
async fn peer_that_does_not_read_is_cut_off_and_cannot_delay_a_close() {
    let (local, _remote) = connected_pair().await;
    let total = SocketTotals::new(1 << 20);
    let output = ConnectionOutput::new(Some(local.clone()), total.clone());
    let chunk = vec![b'x'; 16 << 10];
    for _ in 0..10_000 {
        if output.has_unsent() {
            break;
        }
        output.write(&chunk);
    }
    assert!(output.has_unsent() && !output.aborted.get());
    output.close();
    let end =
        timeout(LINGER_TIMEOUT * 2, serve_connection(&local, &output, true, async |_: &mut Vec<u8>, _| true))
            .await;
    assert_eq!(end, Ok(false), "the close does not wait for a peer that does not read");
    (0..10).for_each(|_| output.write(&chunk));
    assert!(output.aborted.get() && total.unsent.get() <= MAX_UNSENT_BYTES);
    drop(output);
    assert_eq!(total.unsent.get(), 0);
}

// Guards against an end that is forgotten as soon as it was written to a connection that cannot take it.
#[tokio::test]
async fn reported_end_is_returned_if_its_connection_does_not_accept_it() {
    let (local, remote) = connected_pair().await;
    let output = ConnectionOutput::new(Some(local.clone()), SocketTotals::new(1 << 20));
    let end = |id| SessionEnd { sess: kelpdoor::ids::SessId(id), cause: 16 };
    output.write_end(b"taken at once", end(1));
    assert_eq!(output.take_unaccepted_ends(), []);
    let chunk = vec![b'x'; 16 << 10];
    while !output.has_unsent() {
        output.write(&chunk);
    }
    output.write_end(b"waits", end(2));
    output.write_end(b"waits too", end(3));
    drop(remote);
    while output.flush(&local) {
        tokio::task::yield_now().await;
    }
    assert_eq!(output.take_unaccepted_ends(), [end(2), end(3)]);
}

/// Fills the receive buffer of a connection; returns the number of bytes.
async fn fill_receive_buffer(remote: &TcpStream) -> usize {
    let chunk = vec![b'x'; 64 << 10];
    let mut sent = 0;
    for _ in 0..100 {
        while let Ok(n) = remote.try_write(&chunk) {
            sent += n;
        }
        sleep(Duration::from_millis(1)).await;
    }
    sent
}

/// Runs a future beside a task that counts its own turns.
async fn run_beside_counter(turns: Rc<Cell<usize>>, reading: impl Future<Output = ()>) {
    let counting = async move {
        loop {
            turns.set(turns.get() + 1);
            tokio::task::yield_now().await;
        }
    };
    let counter = spawn_local(counting);
    timeout(LINGER_TIMEOUT * 3, reading).await.expect("the connection is closed in time");
    counter.abort();
}

// Guards against a loop of `readable` and `try_read` that never gives way while its socket has bytes.
#[tokio::test]
async fn connection_with_much_to_read_gives_way_after_each_turn() {
    LocalSet::new()
        .run_until(async {
            check_turns_of_connection(false).await;
            check_turns_of_connection(true).await;
        })
        .await;
}

/// Serves a connection with a full receive buffer, and checks how much is read between two turns of another task.
async fn check_turns_of_connection(closing: bool) {
    let (local, remote) = connected_pair().await;
    let filled = fill_receive_buffer(&remote).await;
    assert!(filled >= 8 * TURN_BYTES, "the kernel buffers only {filled} bytes");
    let output = ConnectionOutput::new(Some(local.clone()), SocketTotals::new(1 << 20));
    if closing {
        output.close();
    }
    let turns = Rc::new(Cell::new(0));
    let (mut last_turn, mut in_turn, mut most, mut received) = (0, 0, 0, 0);
    let parse = async |buf: &mut Vec<u8>, _| {
        if last_turn != turns.get() {
            (last_turn, in_turn) = (turns.get(), 0);
        }
        in_turn += buf.len();
        most = most.max(in_turn);
        received += buf.len();
        buf.clear();
        if received < filled {
            return true;
        }
        output.close();
        false
    };
    run_beside_counter(turns.clone(), async {
        serve_connection(&local, &output, true, parse).await;
    })
    .await;
    assert!(received >= filled, "closing: {closing}: {received} of {filled} bytes");
    assert!(most < TURN_BYTES + READ_SIZE, "closing: {closing}: {most} bytes in one turn");
}

// Guards against a peer that keeps sending and thus keeps the time limit for its last input from being looked at.
#[tokio::test]
async fn discarding_the_input_of_a_closed_connection_gives_way_and_ends_in_time() {
    let (local, remote) = connected_pair().await;
    let filled = fill_receive_buffer(&remote).await;
    let turns = Rc::new(Cell::new(0));
    let discarding = discard_input(&local, Instant::now() + LINGER_TIMEOUT);
    LocalSet::new().run_until(run_beside_counter(turns.clone(), discarding)).await;
    assert!(turns.get() >= filled / DISCARD_BURST, "{} turns for {filled} bytes", turns.get());
    fill_receive_buffer(&remote).await;
    discard_input(&local, Instant::now()).await;
    let mut rest = Vec::new();
    assert!(matches!(read(&local, &mut rest), ReadResult::Data(_)), "nothing is read after the deadline");
}

#[tokio::test]
async fn data_sent_before_the_peer_sees_the_close_is_read() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let (local, mut remote) = connected_pair().await;
    let output = ConnectionOutput::new(Some(local.clone()), SocketTotals::new(1 << 20));
    output.close();
    let received = RefCell::new(Vec::new());
    let serving = serve_connection(&local, &output, true, async |buf: &mut Vec<u8>, _| {
        received.borrow_mut().append(buf);
        true
    });
    let peer = async {
        remote.write_all(b"over").await.expect("the local side still reads");
        assert_eq!(remote.read(&mut [0; 8]).await.expect("the local end"), 0);
        drop(remote);
    };
    let both = timeout(LINGER_TIMEOUT * 2, async { tokio::join!(serving, peer) }).await;
    let (peer_ended, ()) = both.expect("both ends close");
    assert_eq!((peer_ended, &received.borrow()[..]), (false, &b"over"[..]));
}

#[tokio::test]
async fn unsent_bytes_of_all_peers_are_limited() {
    let total = SocketTotals::new(20 << 10);
    let outputs = [ConnectionOutput::new(None, total.clone()), ConnectionOutput::new(None, total.clone())];
    outputs.iter().for_each(|o| o.write(&[0; 16 << 10]));
    assert_eq!(outputs.each_ref().map(|o| o.aborted.get()), [false, true]);
}

#[tokio::test]
async fn panic_in_a_connection_task_is_contained() {
    catch_panic(async { panic!("a fault") }).await;
}
