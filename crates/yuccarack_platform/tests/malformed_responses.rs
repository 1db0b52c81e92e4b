//! Responses of the platform with malformed heads are no results.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use yuccarack_platform::{PlatformClient, PlatformError, feed::FeedRequest, messages::Commit};
use yuccarack_standins::raw_server::{AfterResponse, RawServer};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Responses that are malformed by nothing but their heads.
const MALFORMED: [&str; 5] = [
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n{\"revision\":1,\"rows\":[]}",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n\
     18\r\n{\"revision\":1,\"rows\":[]}\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Lenght: 24\r\n\r\n{\"revision\":1,\"rows\":[]}",
    "HTTP/1.1 101 Switching Protocols\r\n\r\n",
    "HTTP/1.1 600 OK\r\nContent-Length: 24\r\n\r\n{\"revision\":1,\"rows\":[]}",
];

/// Guards against a malformed response that is taken for what the platform has stored.
#[tokio::test]
async fn a_malformed_head_is_no_result() {
    for response in MALFORMED {
        let server = RawServer::start(response, AfterResponse::Close).await.expect("a server");
        let client = PlatformClient::new(server.address(), TIMEOUT);
        let rows = client.rows("").await;
        assert!(matches!(rows, Err(PlatformError::MalformedHead(_))), "{response}: {rows:?}");
        let request = FeedRequest { method: Method::GET, path: "/".to_owned(), body: Bytes::new() };
        let feed = client.send_feed_request(request, TIMEOUT, |_| ()).await;
        assert!(matches!(feed, Err(PlatformError::MalformedHead(_))), "{response}: {feed:?}");
        let commit = client.commit(&Commit::default()).await;
        let error = commit.expect_err(response);
        assert!(matches!(error, PlatformError::MalformedHead(_)), "{response}: {error:?}");
        assert!(!error.is_not_written());
    }
}

/// Guards against bytes behind a malformed head that are taken for the next response.
#[tokio::test]
async fn a_connection_with_a_malformed_head_is_not_reused() {
    let server = RawServer::start(MALFORMED[1], AfterResponse::KeepOpen).await.expect("a server");
    let client = PlatformClient::new(server.address(), TIMEOUT);
    for requests in 1..=3 {
        assert!(client.row("key").await.is_err());
        assert_eq!(server.connections(), requests);
    }
}
