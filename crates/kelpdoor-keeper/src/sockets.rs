//! Connections that bring JSON lines and take them: a task for each, a bound on each line, queue and count.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Connections at most; more are closed at once, and directors come again. One of each director that a document may name, and
/// operators, voters and connections that end.
pub const MAX_CONNECTIONS: usize = 10_000;
/// Answers waiting for one connection at most; beyond it the connection is closed.
const ANSWERS: usize = 8192;

/// What a listener's connections bring.
pub enum SocketEvent<A, T> {
    Opened(u64, mpsc::Sender<T>),
    Closed(u64),
    Received(u64, A),
}

/// Takes connections and reads their lines until it is dropped. `fault` makes a last answer of what was wrong with a line.
pub async fn accept<A, T, C>(
    listener: TcpListener, to: mpsc::Sender<C>, max_line: usize, fault: fn(String) -> T,
) where
    A: DeserializeOwned + Send + 'static,
    T: Serialize + Send + 'static,
    C: From<SocketEvent<A, T>> + Send + 'static,
{
    let room = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut tasks = JoinSet::new();
    let mut next = 0;
    loop {
        while tasks.try_join_next().is_some() {}
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                tracing::warn!(%e, "a connection was not accepted");
                sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let Ok(permit) = room.clone().try_acquire_owned() else { continue };
        next += 1;
        let (conn, to) = (next, to.clone());
        tasks.spawn(async move {
            let _ = stream.set_nodelay(true);
            attend::<A, T, C>(conn, stream, &to, max_line, fault).await;
            let _ = to.send(SocketEvent::Closed(conn).into()).await;
            drop(permit);
        });
    }
}

async fn attend<A: DeserializeOwned, T: Serialize, C: From<SocketEvent<A, T>>>(
    conn: u64, stream: TcpStream, to: &mpsc::Sender<C>, max_line: usize, fault: fn(String) -> T,
) {
    let (read, mut write) = stream.into_split();
    let (tell, mut told) = mpsc::channel::<T>(ANSWERS);
    if to.send(SocketEvent::Opened(conn, tell).into()).await.is_err() {
        return;
    }
    let writer = async {
        while let Some(tell) = told.recv().await {
            let mut text = serde_json::to_vec(&tell).expect("plain data");
            text.push(b'\n');
            // What waits together goes out together.
            while text.len() < 1 << 16
                && let Ok(more) = told.try_recv()
            {
                text.extend(serde_json::to_vec(&more).expect("plain data"));
                text.push(b'\n');
            }
            if write.write_all(&text).await.is_err() {
                return;
            }
        }
    };
    let wrong = tokio::select! {
        wrong = listen::<A, T, C>(conn, read, to, max_line) => wrong,
        () = writer => None,
    };
    if let Some(wrong) = wrong {
        tracing::warn!(conn, fault = %wrong, "closing a connection");
        let mut text = serde_json::to_vec(&fault(wrong)).expect("plain data");
        text.push(b'\n');
        let _ = write.write_all(&text).await;
    }
}

/// Reads lines to the connection's end; what was wrong with one.
async fn listen<A: DeserializeOwned, T, C: From<SocketEvent<A, T>>>(
    conn: u64, read: OwnedReadHalf, to: &mpsc::Sender<C>, max_line: usize,
) -> Option<String> {
    let mut lines = BufReader::new(read);
    let mut line = Vec::new();
    loop {
        line.clear();
        match (&mut lines).take(max_line as u64).read_until(b'\n', &mut line).await {
            Ok(0) | Err(_) => return None,
            Ok(_) if !line.ends_with(b"\n") => {
                return (line.len() >= max_line).then(|| format!("a line of more than {max_line} bytes"));
            }
            Ok(_) => {}
        }
        match serde_json::from_slice::<A>(&line) {
            Err(e) => return Some(format!("not a message: {e}")),
            Ok(ask) => to.send(SocketEvent::Received(conn, ask).into()).await.ok()?,
        }
    }
}
