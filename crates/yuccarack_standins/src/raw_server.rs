//! A server that sends fixed bytes, for responses that no HTTP library produces.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::{JoinHandle, JoinSet},
};

/// Longest request that is read at once; tests send shorter ones.
const REQUEST_MAX_BYTES: usize = 16 * 1024;

/// Whether a connection stays open after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterResponse {
    /// The server closes the connection.
    Close,
    /// The connection may carry further requests.
    KeepOpen,
}

/// A running server; dropped, it closes its listener and all connections.
pub struct RawServer {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl RawServer {
    /// Starts a server on a free loopback port that sends `response` to each request.
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub async fn start(response: &str, after_response: AfterResponse) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let connections = Arc::new(AtomicUsize::new(0));
        let accepted = Arc::clone(&connections);
        let response = response.to_owned();
        let task = tokio::spawn(async move {
            let mut running = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                accepted.fetch_add(1, Ordering::Relaxed);
                running.spawn(serve(stream, response.clone(), after_response));
            }
        });
        Ok(Self { address, connections, task })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of connections that it accepted.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
}

impl Drop for RawServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(mut stream: TcpStream, response: String, after_response: AfterResponse) {
    let mut request = vec![0; REQUEST_MAX_BYTES];
    while stream.read(&mut request).await.is_ok_and(|read| read > 0) {
        let sent = stream.write_all(response.as_bytes()).await;
        if sent.is_err() || after_response == AfterResponse::Close {
            let _ = stream.shutdown().await;
            return;
        }
    }
}
