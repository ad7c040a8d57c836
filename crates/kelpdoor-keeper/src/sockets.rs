//! Server side of connections that carry JSON lines in both directions: one task per connection, with bounds on the length
//! of a line, the queue of responses and the number of connections.

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

/// Maximum number of connections; further ones are closed at once, and directors connect again. Leaves room for each
/// director that a document may name, for operators and voters, and for connections that are closing.
pub const MAX_CONNECTIONS: usize = 10_000;
/// Maximum number of responses queued for one connection; beyond it the connection is closed.
const MAX_QUEUED_RESPONSES: usize = 8192;

/// An event on a connection of a listener, with the number of the connection. `A` is the type of requests, `T` that of
/// responses.
pub enum SocketEvent<A, T> {
    Opened(u64, mpsc::Sender<T>),
    Closed(u64),
    Received(u64, A),
}

/// Accepts connections and sends their events to `events` until it is dropped. `error_response` turns the description of
/// an invalid line into the last response on its connection.
pub async fn accept<A, T, C>(
    listener: TcpListener, events: mpsc::Sender<C>, max_line: usize, error_response: fn(String) -> T,
) where
    A: DeserializeOwned + Send + 'static,
    T: Serialize + Send + 'static,
    C: From<SocketEvent<A, T>> + Send + 'static,
{
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut tasks = JoinSet::new();
    let mut last_connection = 0;
    loop {
        while tasks.try_join_next().is_some() {}
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                tracing::warn!(%e, "cannot accept a connection");
                sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let Ok(permit) = slots.clone().try_acquire_owned() else { continue };
        last_connection += 1;
        let (connection, events) = (last_connection, events.clone());
        tasks.spawn(async move {
            let _ = stream.set_nodelay(true);
            serve_connection::<A, T, C>(connection, stream, &events, max_line, error_response).await;
            let _ = events.send(SocketEvent::Closed(connection).into()).await;
            drop(permit);
        });
    }
}

async fn serve_connection<A: DeserializeOwned, T: Serialize, C: From<SocketEvent<A, T>>>(
    connection: u64, stream: TcpStream, events: &mpsc::Sender<C>, max_line: usize,
    error_response: fn(String) -> T,
) {
    let (read, mut write) = stream.into_split();
    let (responses, mut queue) = mpsc::channel::<T>(MAX_QUEUED_RESPONSES);
    if events.send(SocketEvent::Opened(connection, responses).into()).await.is_err() {
        return;
    }
    let writer = async {
        while let Some(response) = queue.recv().await {
            let mut text = serde_json::to_vec(&response).expect("plain data");
            text.push(b'\n');
            // Responses that are queued together are written together.
            while text.len() < 1 << 16
                && let Ok(more) = queue.try_recv()
            {
                text.extend(serde_json::to_vec(&more).expect("plain data"));
                text.push(b'\n');
            }
            if write.write_all(&text).await.is_err() {
                return;
            }
        }
    };
    let error = tokio::select! {
        error = read_requests::<A, T, C>(connection, read, events, max_line) => error,
        () = writer => None,
    };
    if let Some(error) = error {
        tracing::warn!(conn = connection, fault = %error, "closing a connection after an invalid line");
        let mut text = serde_json::to_vec(&error_response(error)).expect("plain data");
        text.push(b'\n');
        let _ = write.write_all(&text).await;
    }
}

/// Reads requests until the connection ends. Returns what is wrong with an invalid line, `None` if there was none.
async fn read_requests<A: DeserializeOwned, T, C: From<SocketEvent<A, T>>>(
    connection: u64, read: OwnedReadHalf, events: &mpsc::Sender<C>, max_line: usize,
) -> Option<String> {
    let mut reader = BufReader::new(read);
    let mut line = Vec::new();
    loop {
        line.clear();
        match (&mut reader).take(max_line as u64).read_until(b'\n', &mut line).await {
            Ok(0) | Err(_) => return None,
            Ok(_) if !line.ends_with(b"\n") => {
                return (line.len() >= max_line).then(|| format!("a line of more than {max_line} bytes"));
            }
            Ok(_) => {}
        }
        match serde_json::from_slice::<A>(&line) {
            Err(e) => return Some(format!("not a message: {e}")),
            Ok(request) => events.send(SocketEvent::Received(connection, request).into()).await.ok()?,
        }
    }
}
