//! Responses of daemons with malformed heads are no results.

use std::time::Duration;

use serde_json::Value;
use yuccarack_standins::raw_server::{AfterResponse, RawServer};
use yuccarackctl::{CtlError, admin_client::AdminClient};

/// Guards against operators who are shown what no daemon reported.
#[tokio::test]
async fn a_malformed_head_is_no_result() {
    for response in [
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n\
         2\r\n{}\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Lenght: 2\r\n\r\n{}",
        "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\n{}",
    ] {
        let server = RawServer::start(response, AfterResponse::Close).await.expect("a server");
        let client = AdminClient::new(Duration::from_secs(5));
        let got = client.get::<Value>(server.address(), "/status").await;
        assert!(matches!(got, Err(CtlError::MalformedResponse { .. })), "{response}: {got:?}");
        let posted = client.post(server.address(), "/hint").await;
        assert!(
            matches!(posted, Err(CtlError::MalformedResponse { .. })),
            "{response}: {posted:?}"
        );
    }
}
