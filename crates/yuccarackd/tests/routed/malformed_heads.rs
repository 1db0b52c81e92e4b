//! Responses with malformed heads fail the request, and the next response on the connection is whole.

use std::net::SocketAddr;

use http::StatusCode;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use yuccarack_platform_standin::{
    deployment::Deployment,
    target::{Behaviour, RawResponse},
};

use crate::support::{ORDERS, READS, deployed};

/// Caller that interprets responses strictly by their `Content-Length`.
struct StrictCaller {
    stream: TcpStream,
    /// Bytes that were received and not yet taken as part of a response.
    received: Vec<u8>,
}

/// Response with its bytes as they arrived.
#[derive(Debug, PartialEq, Eq)]
struct StrictResponse {
    status: u16,
    head: String,
    body: String,
}

impl StrictCaller {
    async fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.expect("a connection");
        Self { stream, received: Vec::new() }
    }

    async fn read_more(&mut self) {
        let read = self.stream.read_buf(&mut self.received).await.expect("a response");
        assert!(read > 0, "closed after {:?}", String::from_utf8_lossy(&self.received));
    }

    async fn send(&mut self, method: &str, host: &str, path: &str, id: &str) -> StrictResponse {
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nYuccarack-Request-Id: {id}\r\n\
             Yuccarack-Request-Deadline: 2000\r\nContent-Length: 0\r\n\r\n"
        );
        self.stream.write_all(request.as_bytes()).await.expect("a sent request");
        let head_end = loop {
            match self.received.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                Some(start) => break start + 4,
                None => self.read_more().await,
            }
        };
        let head = self.received.drain(..head_end).collect::<Vec<_>>();
        let head = String::from_utf8(head).expect("a head in ASCII").to_ascii_lowercase();
        let status = head.strip_prefix("http/1.1 ").expect("a status line")[..3].parse();
        let status = status.expect("a status");
        assert!(!head.contains("transfer-encoding"), "{head}");
        let lengths = head.lines().filter_map(|line| line.strip_prefix("content-length:"));
        let length = match (lengths.collect::<Vec<_>>().as_slice(), status) {
            ([], 101 | 204 | 304) => 0,
            ([length], _) => length.trim().parse().expect("a length"),
            _ => panic!("not one length: {head}"),
        };
        while self.received.len() < length {
            self.read_more().await;
        }
        let body = self.received.drain(..length).collect::<Vec<_>>();
        let body = String::from_utf8(body).expect("a body in ASCII");
        StrictResponse { status, head, body }
    }
}

/// Sends a read and an order to targets that all respond with `raw`; returns what is wrong with the
/// responses of the daemon.
async fn find_faults(deployment: &Deployment, name: &str, raw: RawResponse) -> Vec<String> {
    let set_behaviour = |behaviour| {
        for instance in &deployment.instances {
            instance.target.set_behaviour(behaviour);
        }
    };
    let mut faults = Vec::new();
    for (method, host, path) in [("GET", READS, "/r/1"), ("POST", ORDERS, "/o/1")] {
        let mut caller = StrictCaller::connect(deployment.instances[0].call_address()).await;
        set_behaviour(Behaviour::RespondRaw(raw));
        let id = format!("{method}-{}", name.replace(' ', "-"));
        let response = caller.send(method, host, path, &id).await;
        let is_rejected = response.status == StatusCode::BAD_GATEWAY && response.body.is_empty();
        if !is_rejected || response.head.contains("stamp-of") {
            faults.push(format!("{name}: {response:?}"));
        }
        let runs = deployment.instances.iter().flat_map(|instance| instance.target.runs());
        if method == "POST" && runs.filter(|run| run.id == id).count() != 1 {
            faults.push(format!("{name}: the order did not run once"));
        }
        set_behaviour(Behaviour::Respond(std::time::Duration::from_millis(2)));
        let next_id = format!("next-{id}");
        let next = caller.send(method, host, path, &next_id).await;
        if next.status != StatusCode::OK || next.body != format!("page of {next_id}") {
            faults.push(format!("{name}: the next response is {next:?}"));
        }
    }
    faults
}

async fn assert_rejected(name: &str, responses: &[(&str, RawResponse)]) {
    let deployment = deployed(name, &["board", "board", "desk"]).await;
    let mut faults = Vec::new();
    for (name, raw) in responses {
        faults.extend(find_faults(&deployment, name, *raw).await);
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// Guards against the framing of chunks that is forwarded as a part of the body.
#[tokio::test]
async fn a_malformed_transfer_encoding_is_rejected() {
    let chunked = |headers| RawResponse::new(headers).with_chunks();
    let responses = [
        ("misspelt value", chunked(b"Transfer-Encoding: chunkd\r\n")),
        (
            "misspelt value and close",
            chunked(b"Transfer-Encoding: chunkd\r\nConnection: close\r\n"),
        ),
        ("empty value", chunked(b"Transfer-Encoding:\r\n")),
        ("empty value and close", chunked(b"Transfer-Encoding:\r\nConnection: close\r\n")),
        ("only a comma", chunked(b"Transfer-Encoding: ,\r\n")),
        ("chunked not last", chunked(b"Transfer-Encoding: chunked, gzip\r\n")),
        (
            "chunked on the first of two lines",
            chunked(b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n"),
        ),
        ("chunked twice", chunked(b"Transfer-Encoding: chunked, chunked\r\n")),
        ("chunked with a parameter", chunked(b"Transfer-Encoding: chunked;q=1\r\n")),
        ("quoted", chunked(b"Transfer-Encoding: \"chunked\"\r\n")),
        (
            "HTTP/1.0",
            chunked(b"Transfer-Encoding: chunked\r\n").with_status_line(b"HTTP/1.0 200 OK"),
        ),
        (
            "status 204",
            chunked(b"Transfer-Encoding: chunked\r\n").with_status_line(b"HTTP/1.1 204 No Content"),
        ),
        ("another coding", RawResponse::new(b"Transfer-Encoding: gzip\r\n")),
        (
            "another coding and close",
            RawResponse::new(b"Transfer-Encoding: gzip\r\nConnection: close\r\n"),
        ),
        ("identity", RawResponse::new(b"Transfer-Encoding: identity\r\n")),
        ("another coding before chunked", chunked(b"Transfer-Encoding: gzip, chunked\r\n")),
    ];
    assert_rejected("transfer-encoding", &responses).await;
}

/// Guards against a body of another length than the forwarded head declares.
#[tokio::test]
async fn two_lengths_are_rejected() {
    let chunked = |headers| RawResponse::new(headers).with_chunks();
    let responses = [
        ("smaller", chunked(b"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n")),
        ("greater", chunked(b"Content-Length: 300\r\nTransfer-Encoding: chunked\r\n")),
        ("zero", chunked(b"Content-Length: 0\r\nTransfer-Encoding: chunked\r\n")),
        ("unreadable", chunked(b"Content-Length: x\r\nTransfer-Encoding: chunked\r\n")),
    ];
    assert_rejected("two-lengths", &responses).await;
}

/// Guards against a status that is forwarded though it isn't the final status of a response.
#[tokio::test]
async fn an_invalid_status_is_rejected() {
    let lines: [&[u8]; 13] = [
        b"HTTP/1.1 000 OK",
        b"HTTP/1.1 042 OK",
        b"HTTP/1.1 099 OK",
        b"HTTP/1.1 101 Switching Protocols",
        b"HTTP/1.1 600 OK",
        b"HTTP/1.1 999 OK",
        b"HTTP/1.1 20 OK",
        b"HTTP/1.1 2000 OK",
        b"HTTP/1.1 2x0 OK",
        b"HTTP/1.1 -20 OK",
        b"HTTP/1.1  OK",
        b"HTTP/2.0 200 OK",
        b"HTPT/1.1 200 OK",
    ];
    let names = lines.map(|line| String::from_utf8_lossy(line).replace(['/', '.'], "-"));
    let raw = |line| RawResponse::new(b"Content-Length: 1\r\n").with_status_line(line);
    let responses: Vec<_> =
        names.iter().zip(lines).map(|(name, line)| (name.as_str(), raw(line))).collect();
    assert_rejected("status", &responses).await;
}

/// Guards against a body whose length the target didn't declare.
#[tokio::test]
async fn a_malformed_content_length_is_rejected() {
    let responses = [
        ("letters", RawResponse::new(b"Content-Length: ten\r\n")),
        ("letter behind", RawResponse::new(b"Content-Length: 17x\r\n")),
        ("plus", RawResponse::new(b"Content-Length: +17\r\n")),
        ("minus", RawResponse::new(b"Content-Length: -17\r\n")),
        ("blank", RawResponse::new(b"Content-Length: 1 7\r\n")),
        ("point", RawResponse::new(b"Content-Length: 17.0\r\n")),
        ("nul", RawResponse::new(b"Content-Length: 17\0\r\n")),
        ("empty", RawResponse::new(b"Content-Length:\r\n")),
        ("hexadecimal", RawResponse::new(b"Content-Length: 0x11\r\n")),
        ("too large", RawResponse::new(b"Content-Length: 99999999999999999999\r\n")),
        ("two that differ", RawResponse::new(b"Content-Length: 3\r\nContent-Length: 17\r\n")),
        ("list that differs", RawResponse::new(b"Content-Length: 3, 17\r\n")),
        (
            "status 204",
            RawResponse::new(b"Content-Length: 17\r\n")
                .with_status_line(b"HTTP/1.1 204 No Content"),
        ),
        (
            "status 304",
            RawResponse::new(b"Content-Length: x\r\n")
                .with_status_line(b"HTTP/1.1 304 Not Modified"),
        ),
    ];
    assert_rejected("content-length", &responses).await;
}

/// Guards against a line that is no field and is forwarded, or hides what the fields behind it say.
#[tokio::test]
async fn a_line_that_is_no_field_is_rejected() {
    let responses = [
        ("blank in the name", RawResponse::new(b"X Bad: 1\r\nContent-Length: 10\r\n")),
        ("tab in the name", RawResponse::new(b"X\tBad: 1\r\nContent-Length: 10\r\n")),
        ("control byte", RawResponse::new(b"X\x01Bad: 1\r\nContent-Length: 10\r\n")),
        ("delete", RawResponse::new(b"X\x7fBad: 1\r\nContent-Length: 10\r\n")),
        ("nul", RawResponse::new(b"X\0Bad: 1\r\nContent-Length: 10\r\n")),
        ("bracket", RawResponse::new(b"X[Bad]: 1\r\nContent-Length: 10\r\n")),
        ("high byte", RawResponse::new(b"X\xe4Bad: 1\r\nContent-Length: 10\r\n")),
        ("blank before the colon", RawResponse::new(b"Content-Length : 10\r\n")),
        ("blank in the name of a length", RawResponse::new(b"Content Length: 10\r\n")),
        ("no name", RawResponse::new(b": 1\r\nContent-Length: 10\r\n")),
        ("no colon", RawResponse::new(b"no field\r\nContent-Length: 10\r\n")),
        ("folded line", RawResponse::new(b"X-Bad: 1\r\n 2\r\nContent-Length: 10\r\n")),
        ("control byte in a value", RawResponse::new(b"X-Bad: \x01\r\nContent-Length: 10\r\n")),
        ("nul in a value", RawResponse::new(b"X-Bad: a\0b\r\nContent-Length: 10\r\n")),
        ("bare return in a value", RawResponse::new(b"X-Bad: a\rb\r\nContent-Length: 10\r\n")),
    ];
    assert_rejected("no-field", &responses).await;
}
/// Guards against a length that goes unnoticed, since the name of its field is misspelt.
#[tokio::test]
async fn a_misspelt_name_of_a_length_is_rejected() {
    let chunked = |headers| RawResponse::new(headers).with_chunks();
    let responses = [
        ("letter lost", chunked(b"Transfer-Encodin: chunked\r\n")),
        ("letter lost and close", chunked(b"Transfer-Encodin: chunked\r\nConnection: close\r\n")),
        ("letter replaced", chunked(b"Transfer-Enkoding: chunked\r\n")),
        ("letters swapped", chunked(b"Tranfser-Encoding: chunked\r\n")),
        ("underscore", chunked(b"Transfer_Encoding: chunked\r\n")),
        ("no hyphen", chunked(b"TransferEncoding: chunked\r\n")),
        ("content length", RawResponse::new(b"Content-Lenght: 10\r\n")),
    ];
    assert_rejected("misspelt", &responses).await;
}

/// Guards against a success without the signature of its target, or that may be for another request.
#[tokio::test]
async fn a_response_that_is_not_identified_is_rejected() {
    let chunked = |headers| RawResponse::new(headers).with_chunks();
    let responses = [
        (
            "signature for one connection",
            chunked(b"Transfer-Encoding: chunked\r\nConnection: Yuccarack-Server-Stamp\r\n"),
        ),
        (
            "request id for one connection",
            chunked(b"Transfer-Encoding: chunked\r\nConnection: close, yuccarack-request-id\r\n"),
        ),
        (
            "second signature",
            chunked(b"Transfer-Encoding: chunked\r\nYuccarack-Server-Stamp: another\r\n"),
        ),
        (
            "second request id",
            chunked(b"Transfer-Encoding: chunked\r\nYuccarack-Request-Id: another\r\n"),
        ),
    ];
    assert_rejected("identity", &responses).await;
}
