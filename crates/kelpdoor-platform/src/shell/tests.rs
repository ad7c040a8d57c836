use super::*;

#[test]
fn only_a_refusal_is_one_and_what_we_lack_says_nothing_of_a_node() {
    let of = |code: i32| failed(Some(&io::Error::from_raw_os_error(code)));
    assert_eq!(of(libc::ECONNREFUSED), ConnectFailure::Refused);
    assert_eq!([of(libc::EMFILE), of(libc::EADDRNOTAVAIL)], [ConnectFailure::LocalResources; 2]);
    assert_eq!([of(libc::EHOSTUNREACH), failed(None)], [ConnectFailure::Unreachable; 2]);
}

fn backlog(most: usize) -> Backlog {
    Backlog { bytes: Rc::default(), most }
}

async fn pair() -> (Rc<TcpStream>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let ours = TcpStream::connect(listener.local_addr().expect("an address")).await.expect("connected");
    (Rc::new(ours), listener.accept().await.expect("accepted").0)
}

#[tokio::test]
async fn a_peer_that_does_not_read_is_cut_off_at_the_bound_and_holds_no_connection_that_closes() {
    let (ours, _theirs) = pair().await;
    let all = backlog(1 << 20);
    let pipe = Pipe::new(Some(ours.clone()), all.clone());
    let chunk = vec![b'x'; 16 << 10];
    for _ in 0..10_000 {
        if pipe.waits() {
            break;
        }
        pipe.write(&chunk);
    }
    assert!(pipe.waits() && !pipe.cut.get());
    pipe.close();
    let end = timeout(LINGER * 2, serve(&ours, &pipe, true, async |_: &mut Vec<u8>| true)).await;
    assert_eq!(end, Ok(false), "it ends though its last words are not read");
    (0..10).for_each(|_| pipe.write(&chunk));
    assert!(pipe.cut.get() && all.bytes.get() <= PENDING);
    drop(pipe);
    assert_eq!(all.bytes.get(), 0);
}

#[tokio::test]
async fn what_a_peer_said_before_it_saw_our_close_is_read() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let (ours, mut theirs) = pair().await;
    let pipe = Pipe::new(Some(ours.clone()), backlog(1 << 20));
    pipe.close();
    let said = RefCell::new(Vec::new());
    let served = serve(&ours, &pipe, true, async |buf: &mut Vec<u8>| {
        said.borrow_mut().append(buf);
        true
    });
    let peer = async {
        theirs.write_all(b"over").await.expect("the way to us is open");
        assert_eq!(theirs.read(&mut [0; 8]).await.expect("our end"), 0);
        drop(theirs);
    };
    let both = timeout(LINGER * 2, async { tokio::join!(served, peer) }).await;
    let (ours_to_end, ()) = both.expect("both ends close");
    assert_eq!((ours_to_end, &said.borrow()[..]), (false, &b"over"[..]));
}

#[tokio::test]
async fn all_peers_together_keep_within_their_bound() {
    let all = backlog(20 << 10);
    let pipes = [Pipe::new(None, all.clone()), Pipe::new(None, all.clone())];
    pipes.iter().for_each(|p| p.write(&[0; 16 << 10]));
    assert_eq!(pipes.each_ref().map(|p| p.cut.get()), [false, true]);
}

#[tokio::test]
async fn a_fault_in_a_connections_task_costs_that_connection_alone() {
    guarded(async { panic!("a fault") }).await;
}
