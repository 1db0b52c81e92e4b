//! Removal of headers that apply to a single connection.

use http::{HeaderMap, HeaderValue, header};
use yuccarackd::protocol::forwarding::strip_hop_by_hop;

// A caller sends `Connection: close, x-hop`. Forwarded, `close` would end the keep-alive connection
// to the target after each call, and `x-hop` would reach a hop for which it has no meaning.
#[test]
fn hop_by_hop_headers_are_not_forwarded() {
    let mut map = HeaderMap::new();
    map.insert(header::CONNECTION, HeaderValue::from_static("close, X-Hop"));
    map.insert("x-hop", HeaderValue::from_static("1"));
    map.insert("keep-alive", HeaderValue::from_static("timeout=5"));
    map.insert(header::TE, HeaderValue::from_static("trailers"));
    map.insert(header::TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
    map.insert(header::UPGRADE, HeaderValue::from_static("websocket"));
    map.insert(header::EXPECT, HeaderValue::from_static("100-continue"));
    map.insert(header::ACCEPT, HeaderValue::from_static("text/plain"));
    strip_hop_by_hop(&mut map);
    assert_eq!(map.len(), 1);
    assert!(map.contains_key(header::ACCEPT));
}
