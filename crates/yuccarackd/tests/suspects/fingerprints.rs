//! Fingerprints of requests.

use yuccarackd::coordination::suspects::fingerprint::{
    FINGERPRINT_BODY_MAX_BYTES, FingerprintParts,
};

fn order<'a>(body: &'a [u8], key: &'a str) -> FingerprintParts<'a> {
    FingerprintParts {
        service: "refills",
        method: "POST",
        path_and_query: "/orders?drums=2",
        key: Some(key),
        content_length: Some(body.len() as u64),
        body,
    }
}

/// Guards against a crashing request that isn't recognised when it is sent again with a new key.
#[test]
fn a_new_key_does_not_change_the_fingerprint_of_a_known_body() {
    let (first, second) = (order(b"2 drums", "a"), order(b"2 drums", "b"));
    assert_eq!(first.fingerprint(), second.fingerprint());
    assert_ne!(first.fingerprint(), order(b"3 drums", "a").fingerprint());
}

/// Guards against equal fingerprints of all requests whose bodies aren't known. One crash would
/// then have all of them refused.
#[test]
fn the_key_distinguishes_requests_with_unknown_bodies() {
    let streamed = |key| FingerprintParts { content_length: None, ..order(b"", key) };
    assert_ne!(streamed("a").fingerprint(), streamed("b").fingerprint());
    let long = vec![b'x'; FINGERPRINT_BODY_MAX_BYTES + 1];
    assert_ne!(order(&long, "a").fingerprint(), order(&long, "b").fingerprint());
}

/// Guards against a part that isn't hashed, and against bytes that move from one part to the next
/// without a change of the fingerprint.
#[test]
fn each_part_changes_the_fingerprint() {
    let whole = order(b"2 drums", "a");
    let others = [
        FingerprintParts { service: "refill", ..whole },
        FingerprintParts { method: "PUT", ..whole },
        FingerprintParts { path_and_query: "/orders?drums=3", ..whole },
        FingerprintParts { method: "POST/", path_and_query: "orders?drums=2", ..whole },
    ];
    for other in others {
        assert_ne!(whole.fingerprint(), other.fingerprint(), "{other:?}");
    }
}
