//! Finds where the next request of a connection ends.

use http::{HeaderName, HeaderValue, Method, Request, Uri, request::Parts};
use httparse::{Header, Status};

/// Most headers of a head, equal to the limit of hyper's server.
const HEADERS_MAX: usize = 100;

/// Lengths of a request whose end is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestExtent {
    /// Bytes of the head, including the blank line.
    pub head_bytes: usize,
    /// Bytes of the body, which may not have arrived yet.
    pub body_bytes: u64,
}

/// Result of [`frame`]: what a byte sequence begins with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// An incomplete head.
    Partial,
    /// A complete head that determines the end of its request.
    Complete(RequestExtent),
    /// A request whose end the head doesn't determine, or after which no other may follow.
    Ambiguous,
}

/// Finds the end of the request that `bytes` begin with.
///
/// Whatever two parsers could interpret differently is ambiguous: two lengths, a length with a
/// chunked body, an older protocol version, a protocol upgrade. Only hyper interprets those, which
/// rules out request smuggling between the two parsers.
pub fn frame(bytes: &[u8]) -> Framing {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut head = httparse::Request::new(&mut headers);
    match head.parse(bytes) {
        Ok(Status::Complete(head_bytes)) => frame_complete_head(&head, head_bytes),
        Ok(Status::Partial) => Framing::Partial,
        Err(_) => Framing::Ambiguous,
    }
}

/// Parses the head of a `GET` or `HEAD` request that [`frame`] found complete; none for other
/// methods.
pub fn parse_read_head(bytes: &[u8]) -> Option<Parts> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut head = httparse::Request::new(&mut headers);
    head.parse(bytes).ok()?;
    let method = Method::from_bytes(head.method?.as_bytes()).ok()?;
    if !matches!(method, Method::GET | Method::HEAD) {
        return None;
    }
    let (mut parts, ()) = Request::new(()).into_parts();
    parts.method = method;
    parts.uri = Uri::try_from(head.path?).ok()?;
    for header in head.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        parts.headers.append(name, HeaderValue::from_bytes(header.value).ok()?);
    }
    Some(parts)
}

fn frame_complete_head(head: &httparse::Request<'_, '_>, head_bytes: usize) -> Framing {
    if head.version != Some(1) || head.method == Some("CONNECT") {
        return Framing::Ambiguous;
    }
    let mut length = None;
    for header in head.headers.iter() {
        match classify_header(header) {
            HeaderFraming::Irrelevant => {}
            HeaderFraming::Length(bytes) if length.is_none() => length = Some(bytes),
            HeaderFraming::Length(_) | HeaderFraming::Ambiguous => return Framing::Ambiguous,
        }
    }
    Framing::Complete(RequestExtent { head_bytes, body_bytes: length.unwrap_or(0) })
}

/// Effect of a header on the end of its request.
enum HeaderFraming {
    Irrelevant,
    Length(u64),
    Ambiguous,
}

fn classify_header(header: &Header<'_>) -> HeaderFraming {
    let is = |name: &str| header.name.eq_ignore_ascii_case(name);
    if is("transfer-encoding") || is("upgrade") || is("expect") {
        return HeaderFraming::Ambiguous;
    }
    if is("content-length") {
        return parse_content_length(header.value)
            .map_or(HeaderFraming::Ambiguous, HeaderFraming::Length);
    }
    if is("connection") && !header.value.eq_ignore_ascii_case(b"keep-alive") {
        return HeaderFraming::Ambiguous;
    }
    HeaderFraming::Irrelevant
}

fn parse_content_length(value: &[u8]) -> Option<u64> {
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(value).ok().filter(|_| is_number)?.parse().ok()
}
