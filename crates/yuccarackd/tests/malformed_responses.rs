//! Responses with malformed heads fail, whoever sends them and whatever they are for.

use std::time::{Duration, Instant};

use http::{Request, header};
use tokio_util::task::TaskTracker;
use yuccarack_standins::raw_server::{AfterResponse, RawServer};
use yuccarackd::{
    protocol::body,
    transport::{
        connection::SendError,
        load_probe::{TargetLoad, probe_load},
        upstream::{Freshness, Upstream},
    },
};

/// Guards against malformed responses of targets, health checks, gates, peers and relays, which all
/// arrive over an [`Upstream`], and against bytes behind one that are taken for the next response.
#[tokio::test]
async fn an_upstream_rejects_a_malformed_head_and_closes_the_connection() {
    for response in [
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunkd\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer_Encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\n\r\n",
        "HTTP/1.1 600 OK\r\nContent-Length: 0\r\n\r\n",
    ] {
        let server = RawServer::start(response, AfterResponse::KeepOpen).await.expect("a server");
        let upstream = Upstream::new(TaskTracker::new());
        for requests in 1..=3 {
            let request = Request::get("/").header(header::HOST, "target").body(body::empty());
            let request = request.expect("a request");
            let sent = upstream.send(server.address(), request, Freshness::Pooled).await;
            let is_malformed = matches!(sent, Err(SendError::Malformed(_)));
            assert!(is_malformed, "{response}: {:?}", sent.map(|response| response.status()));
            assert_eq!(server.connections(), requests, "{response}");
        }
    }
}

async fn probe(head: &str) -> Option<TargetLoad> {
    let response = format!("{head}\r\n\r\n{{\"in_flight\":3}}");
    let server = RawServer::start(&response, AfterResponse::Close).await.expect("a server");
    let give_up_at = Instant::now() + Duration::from_secs(5);
    probe_load(server.address(), "/load", 512, give_up_at).await.load
}

/// Guards against decisions by a load that the target didn't report.
#[tokio::test]
async fn a_load_probe_rejects_a_malformed_head() {
    let load = probe("HTTP/1.1 200 OK\r\nContent-Length: 15").await;
    assert_eq!(load, Some(TargetLoad { in_flight: 3 }));
    for head in [
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip",
        "HTTP/1.1 200 OK\r\nContent-Lenght: 15",
        "HTTP/1.1 600 OK\r\nContent-Length: 15",
    ] {
        assert_eq!(probe(head).await, None, "{head}");
    }
}
