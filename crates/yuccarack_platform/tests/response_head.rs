//! Response heads with valid framing pass the check, others don't.

use http::{Response, StatusCode, Version};
use yuccarack_platform::response_head::{ResponseHeadError, check_response_head};

fn check(status: u16, headers: &[(&str, &str)]) -> Result<(), ResponseHeadError> {
    let status = StatusCode::from_u16(status).expect("a status");
    let mut response = Response::builder().status(status);
    for (name, value) in headers {
        response = response.header(*name, *value);
    }
    check_response_head(&response.body(()).expect("a response"))
}

#[test]
fn well_framed_heads_pass() {
    for status in [200, 201, 206, 301, 404, 421, 500, 503, 599] {
        assert_eq!(check(status, &[]), Ok(()));
        assert_eq!(check(status, &[("Content-Length", "0")]), Ok(()));
        assert_eq!(check(status, &[("Content-Length", "00017")]), Ok(()));
        assert_eq!(check(status, &[("Content-Length", &u64::MAX.to_string())]), Ok(()));
        assert_eq!(check(status, &[("Transfer-Encoding", "chunked")]), Ok(()));
        assert_eq!(check(status, &[("transfer-encoding", "Chunked")]), Ok(()));
    }
    assert_eq!(check(204, &[]), Ok(()));
    assert_eq!(check(204, &[("Content-Length", "0")]), Ok(()));
    assert_eq!(check(304, &[("Content-Length", "17")]), Ok(()));
}

/// Guards against a response that is taken for final with an interim or invalid status.
#[test]
fn a_status_that_is_not_final_is_rejected() {
    for status in [100, 101, 103, 199, 600, 999] {
        let result = check(status, &[("Content-Length", "0")]);
        assert_eq!(result, Err(ResponseHeadError::Status), "{status}");
    }
}

/// Guards against framing that the HTTP library interprets leniently.
#[test]
fn malformed_framing_is_rejected() {
    let (te, length) = ("Transfer-Encoding", "Content-Length");
    for value in ["", "chunkd", "gzip", "chunked, gzip", "gzip, chunked", "chunked, chunked", ","] {
        assert_eq!(check(200, &[(te, value)]), Err(ResponseHeadError::TransferCoding), "{value}");
    }
    let twice = [(te, "chunked"), (te, "chunked")];
    assert_eq!(check(200, &twice), Err(ResponseHeadError::TransferCoding));
    for value in ["", "+1", "-1", "1 1", "1,1", "0x1", "1.0", "18446744073709551616"] {
        for status in [200, 204, 304] {
            let result = check(status, &[(length, value)]);
            assert_eq!(result, Err(ResponseHeadError::ContentLength), "{status} {value}");
        }
    }
    let twice = [(length, "17"), (length, "17")];
    assert_eq!(check(200, &twice), Err(ResponseHeadError::ContentLength));
    let both = [(te, "chunked"), (length, "17")];
    assert_eq!(check(200, &both), Err(ResponseHeadError::ConflictingLengths));
    assert_eq!(check(204, &[(length, "17")]), Err(ResponseHeadError::UnexpectedContent));
    let chunked = [(te, "chunked")];
    assert_eq!(check(204, &chunked), Err(ResponseHeadError::UnexpectedTransferCoding));
    let old = Response::builder().version(Version::HTTP_10).header(te, "chunked").body(());
    let result = check_response_head(&old.expect("a response"));
    assert_eq!(result, Err(ResponseHeadError::UnexpectedTransferCoding));
}

/// Guards against a body that is taken for one without a declared length.
#[test]
fn a_misspelt_length_is_rejected() {
    let misspelt = [
        ("Transfer-Encodin", "chunked"),
        ("Tranfser-Encoding", "chunked"),
        ("Transfer_Encoding", "chunked"),
        ("Trnsfer-Encodings", "gzip"),
        ("Framing", "Chunked"),
        ("Content-Lenght", "17"),
        ("ContentLength", "17"),
    ];
    for header in misspelt {
        assert_eq!(check(200, &[header]), Err(ResponseHeadError::MisspeltLength), "{header:?}");
        assert_eq!(check(200, &[header, ("Content-Length", "17")]), Ok(()), "{header:?}");
    }
    let others = [
        ("Content-Type", "text/plain"),
        ("Content-Encoding", "gzip"),
        ("Content-Language", "fi"),
        ("Accept-Encoding", "identity"),
        ("Connection", "close"),
    ];
    assert_eq!(check(200, &others), Ok(()));
}
