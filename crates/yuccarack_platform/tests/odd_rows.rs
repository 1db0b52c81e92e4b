//! Rows whose values can't be represented cost themselves and no other row.

use std::time::Duration;

use serde_json::{Value, json};
use yuccarack_platform::PlatformClient;
use yuccarack_standins::raw_server::{AfterResponse, RawServer};

/// Returns JSON values that are well-formed and that a [`Value`] can't hold.
fn odd_values() -> [String; 4] {
    let nested =
        |open: &str, close: &str| format!("{}0{}", open.repeat(5_000), close.repeat(5_000));
    [nested("[", "]"), nested("{\"a\":", "}"), "1e999".to_owned(), "[-1e400]".to_owned()]
}

async fn read_rows(value: &str) -> Vec<(String, Value)> {
    let body = format!(
        "{{\"revision\":7,\"rows\":[{{\"key\":\"a\",\"revision\":5,\"value\":{{\"port\":1}}}},\
         {{\"key\":\"b\",\"revision\":6,\"value\":{value}}},\
         {{\"key\":\"c\",\"revision\":7,\"value\":\"x\"}}]}}"
    );
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    let server = RawServer::start(&(head + &body), AfterResponse::Close).await.expect("a server");
    let client = PlatformClient::new(server.address(), Duration::from_secs(5));
    let rows = client.rows("").await.expect("rows").rows;
    rows.into_iter().map(|row| (row.key, row.value)).collect()
}

/// Guards against one odd row of another writer that hides all rows, so that daemons stop following
/// the members.
#[tokio::test]
async fn an_odd_row_hides_no_other_row() {
    for value in odd_values() {
        let rows = read_rows(&value).await;
        let expected = [("a", json!({"port": 1})), ("b", Value::Null), ("c", json!("x"))];
        let expected: Vec<_> = expected.map(|(key, value)| (key.to_owned(), value)).into();
        assert_eq!(rows, expected, "{value:.40}");
    }
}
