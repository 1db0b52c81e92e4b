//! Idle timeouts that servers announce for the connections of the pool.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use http::Request;
use http_body_util::BodyExt;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::sleep,
};
use tokio_util::task::TaskTracker;
use yuccarackd::{
    protocol::body,
    transport::upstream::{Freshness, Upstream},
};

/// Starts a server that answers each request with `header`; returns its address and the number of
/// connections that it has accepted.
async fn start_server(header: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let connections = Arc::new(AtomicUsize::new(0));
    let accepted = Arc::clone(&connections);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            accepted.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(async move {
                let mut buffer = [0; 1024];
                while stream.read(&mut buffer).await.is_ok_and(|read| read > 0) {
                    let response = format!("HTTP/1.1 200 OK\r\n{header}Content-Length: 0\r\n\r\n");
                    if stream.write_all(response.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, connections)
}

/// Sends two requests with `pause` between them; returns the number of connections that they took.
async fn connections_of_two(header: &'static str, pause: Duration) -> usize {
    let (address, connections) = start_server(header).await;
    let upstream = Upstream::new(TaskTracker::new());
    for _ in 0..2 {
        let request = Request::get("/").header("host", "a").body(body::empty()).expect("a request");
        let response =
            upstream.send(address, request, Freshness::Pooled).await.expect("a response");
        response.into_body().collect().await.expect("a body");
        sleep(pause).await;
    }
    connections.load(Ordering::Relaxed)
}

/// Guards against a request on a connection that its server closes at that moment, as it announced.
#[tokio::test]
async fn a_connection_is_not_used_near_the_end_of_its_announced_idle_timeout() {
    let pause = Duration::from_millis(900);
    assert_eq!(connections_of_two("Keep-Alive: max=9, timeout=1\r\n", pause).await, 2);
    assert_eq!(connections_of_two("Keep-Alive: timeout=5\r\n", pause).await, 1);
    assert_eq!(connections_of_two("Keep-Alive: timeout=soon\r\n", pause).await, 1);
    assert_eq!(connections_of_two("", pause).await, 1);
}
