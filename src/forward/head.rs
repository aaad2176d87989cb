//! Heads of requests and responses: parsed with `httparse`, checked against request smuggling, and
//! rewritten for the next hop.

use std::fmt::Write;

use snafu::Snafu;

/// Most headers in one head.
const MAX_HEADERS: usize = 100;

/// Hop-by-hop headers.
const HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Why a head is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum HeadError {
    /// Not a valid HTTP/1 head.
    #[snafu(display("malformed HTTP head"))]
    Malformed,
    /// Too many headers.
    #[snafu(display("more than {MAX_HEADERS} headers in the HTTP head"))]
    TooMany,
    /// The length of the body is ambiguous.
    #[snafu(display("ambiguous length of the body"))]
    Framing,
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By this number of bytes.
    Length(u64),
    /// By the chunked coding.
    Chunked,
    /// By the end of the connection.
    Close,
}

/// A header's name and value, as received.
pub type Header = (String, String);

/// Head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// HTTP/1.1 if set, otherwise HTTP/1.0.
    pub is_http11: bool,
    /// The headers, in order.
    pub headers: Vec<Header>,
    /// How the end of the body is determined.
    pub framing: Framing,
}

/// Head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The reason phrase.
    pub reason: String,
    /// HTTP/1.1 if set, otherwise HTTP/1.0.
    pub is_http11: bool,
    /// The headers, in order.
    pub headers: Vec<Header>,
    /// How the end of the body is determined.
    pub framing: Framing,
}

/// Returns the first value of a header.
pub fn find<'a>(headers: &'a [Header], name: &str) -> Option<&'a str> {
    let mut headers = headers.iter();
    let found = headers.find(|(other, _)| other.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

/// Returns all values of a header, in order.
pub fn find_all<'a>(headers: &'a [Header], name: &str) -> impl Iterator<Item = &'a str> {
    let same = headers
        .iter()
        .filter(move |(other, _)| other.eq_ignore_ascii_case(name));
    same.map(|(_, value)| value.as_str())
}

/// Whether a comma-separated header contains a token.
pub fn names_token(headers: &[Header], name: &str, token: &str) -> bool {
    find_all(headers, name)
        .flat_map(|value| value.split(','))
        .any(|part| part.trim().eq_ignore_ascii_case(token))
}

/// Parses the head of a request and returns it with its length, or `None` if it is incomplete.
pub fn parse_request(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, HeadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let len = match request.parse(bytes) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(HeadError::TooMany),
        Err(_) => return Err(HeadError::Malformed),
    };
    let headers = copy_headers(request.headers)?;
    let is_http11 = request.version == Some(1);
    let framing = request_framing(&headers, is_http11)?;
    let hosts = headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("host"));
    let target = request.path.unwrap_or_default();
    if hosts.count() != 1 || !target.starts_with('/') {
        return Err(HeadError::Malformed);
    }
    let head = RequestHead {
        method: request.method.unwrap_or_default().to_owned(),
        target: target.to_owned(),
        is_http11,
        headers,
        framing,
    };
    Ok(Some((head, len)))
}

/// Parses the head of a response and returns it with its length, or `None` if it is incomplete.
pub fn parse_response(
    bytes: &[u8],
    request_method: &str,
) -> Result<Option<(ResponseHead, usize)>, HeadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let len = match response.parse(bytes) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(HeadError::TooMany),
        Err(_) => return Err(HeadError::Malformed),
    };
    let status = response.code.unwrap_or_default();
    if !is_status(status) {
        return Err(HeadError::Malformed);
    }
    let headers = copy_headers(response.headers)?;
    let framing = match is_bodiless(request_method, status) {
        true => Framing::Length(0),
        false => response_framing(&headers)?,
    };
    let head = ResponseHead {
        status,
        reason: response.reason.unwrap_or_default().to_owned(),
        is_http11: response.version == Some(1),
        headers,
        framing,
    };
    Ok(Some((head, len)))
}

/// Whether a response may have this status. Nothing asks to switch protocols (101).
fn is_status(status: u16) -> bool {
    matches!(status, 100 | 102..=599)
}

/// Whether a response ends with its head, whatever its headers say.
pub fn is_bodiless(request_method: &str, status: u16) -> bool {
    request_method == "HEAD" || matches!(status, 100..=199 | 204 | 304)
}

fn copy_headers(headers: &[httparse::Header<'_>]) -> Result<Vec<Header>, HeadError> {
    let copy = |header: &httparse::Header<'_>| {
        let value = std::str::from_utf8(header.value).map_err(|_| HeadError::Malformed)?;
        Ok((header.name.to_owned(), value.to_owned()))
    };
    headers.iter().map(copy).collect()
}

/// Returns the value of `Content-Length`. Differing or malformed values are an error.
fn content_length(headers: &[Header]) -> Result<Option<u64>, HeadError> {
    let mut length = None;
    for (name, value) in headers {
        if !name.eq_ignore_ascii_case("content-length") {
            continue;
        }
        let digits = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
        let parsed = value.parse::<u64>().ok().filter(|_| digits);
        match (parsed, length) {
            (Some(parsed), None) => length = Some(parsed),
            (Some(parsed), Some(known)) if parsed == known => {}
            _ => return Err(HeadError::Framing),
        }
    }
    Ok(length)
}

/// Whether the body has the chunked coding. Any other transfer coding is an error.
fn is_chunked(headers: &[Header]) -> Result<bool, HeadError> {
    let mut codings = headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("transfer-encoding"));
    match (codings.next(), codings.next()) {
        (None, _) => Ok(false),
        (Some((_, value)), None) if value.trim().eq_ignore_ascii_case("chunked") => Ok(true),
        _ => Err(HeadError::Framing),
    }
}

fn request_framing(headers: &[Header], is_http11: bool) -> Result<Framing, HeadError> {
    match (is_chunked(headers)?, content_length(headers)?) {
        (true, None) if is_http11 => Ok(Framing::Chunked),
        (true, _) => Err(HeadError::Framing),
        (false, length) => Ok(Framing::Length(length.unwrap_or(0))),
    }
}

fn response_framing(headers: &[Header]) -> Result<Framing, HeadError> {
    match (is_chunked(headers)?, content_length(headers)?) {
        (true, None) => Ok(Framing::Chunked),
        (true, Some(_)) => Err(HeadError::Framing),
        (false, Some(length)) => Ok(Framing::Length(length)),
        (false, None) => Ok(Framing::Close),
    }
}

/// Returns the headers for the next hop: without hop-by-hop headers, `Content-Length` and those
/// listed in `drop`.
pub fn end_to_end<'a>(
    headers: &'a [Header],
    drop: &'a [&'a str],
) -> impl Iterator<Item = &'a Header> {
    headers.iter().filter(move |(name, _)| {
        let hop = HOP_HEADERS.iter().any(|hop| name.eq_ignore_ascii_case(hop));
        let dropped = drop.iter().any(|other| name.eq_ignore_ascii_case(other));
        let length = name.eq_ignore_ascii_case("content-length");
        !hop && !dropped && !length && !names_token(headers, "connection", name)
    })
}

/// Appends one header line.
pub fn push_header(text: &mut String, name: &str, value: &str) {
    let _ = write!(text, "{name}: {value}\r\n");
}

/// Returns the standard reason phrase of the statuses that this system produces itself.
pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Unknown",
    }
}
