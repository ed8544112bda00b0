//! Parses requests from input that may be incomplete.
//!
//! `httparse` parses heads and chunk sizes. This module finds the end of bodies and enforces size limits.

use std::borrow::Cow;

/// Size in bytes above which an incomplete request head is rejected.
pub(super) const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;
/// Bytes that end a chunk.
const LINE_END: &[u8] = b"\r\n";

/// A completely received request.
pub(super) struct CompleteRequest<'a> {
    /// HTTP method.
    pub(super) method: &'a str,
    /// Path and query string.
    pub(super) url: &'a str,
    /// Body; `None` if it is too long, in which case the rest of it is not read.
    pub(super) body: Option<Cow<'a, [u8]>>,
    /// Number of input bytes that the request consumed.
    pub(super) consumed: usize,
    /// Whether the client wants the connection closed after the response.
    pub(super) close: bool,
}

/// Result of parsing the bytes received so far.
pub(super) enum Parsed<'a> {
    /// The request is incomplete.
    Incomplete {
        /// Whether the client waits for `100 Continue` before it sends the body.
        expects_continue: bool,
    },
    /// The input is not HTTP, or the head exceeds its limits.
    Malformed,
    /// The input begins with a complete request.
    Complete(CompleteRequest<'a>),
}

/// Parses the request at the beginning of `bytes`; its body may have at most `max_body` bytes.
pub(super) fn parse(bytes: &[u8], max_body: usize) -> Parsed<'_> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let body_start = match head.parse(bytes) {
        Ok(httparse::Status::Complete(start)) => start,
        Ok(httparse::Status::Partial) if bytes.len() <= MAX_HEAD_BYTES => {
            return Parsed::Incomplete {
                expects_continue: false,
            };
        }
        _ => return Parsed::Malformed,
    };
    let (Some(method), Some(url)) = (head.method, head.path) else {
        return Parsed::Malformed;
    };
    let is_http_1_0 = head.version == Some(0);
    let Some(headers) = Headers::read(head.headers) else {
        return Parsed::Malformed;
    };
    match headers.framing.read_body(&bytes[body_start..], max_body) {
        Body::Complete { body, consumed } => Parsed::Complete(CompleteRequest {
            method,
            url,
            body,
            consumed: body_start + consumed,
            close: is_http_1_0 || headers.close,
        }),
        Body::Incomplete => Parsed::Incomplete {
            expects_continue: headers.expects_continue,
        },
        Body::Malformed => Parsed::Malformed,
    }
}

/// The headers that affect how the server reads and answers a request.
struct Headers {
    framing: Framing,
    close: bool,
    expects_continue: bool,
}

impl Headers {
    /// Reads the headers; returns `None` if a content length is not a number. Headers whose values are not UTF-8 are
    /// ignored.
    fn read(headers: &[httparse::Header<'_>]) -> Option<Self> {
        let mut found = Self {
            framing: Framing::Length(0),
            close: false,
            expects_continue: false,
        };
        for header in headers {
            let Ok(value) = std::str::from_utf8(header.value) else {
                continue;
            };
            let value = value.trim();
            let is = |name: &str| header.name.eq_ignore_ascii_case(name);
            if is("content-length") {
                found.framing = Framing::Length(value.parse().ok()?);
            } else if is("transfer-encoding") {
                found.framing = Framing::Chunked;
            } else if is("connection") {
                found.close |= value.eq_ignore_ascii_case("close");
            } else if is("expect") {
                found.expects_continue = value.eq_ignore_ascii_case("100-continue");
            }
        }
        Some(found)
    }
}

/// Result of reading a body from the bytes received so far.
enum Body<'a> {
    /// The whole body; `None` if it exceeds the size limit.
    Complete {
        body: Option<Cow<'a, [u8]>>,
        consumed: usize,
    },
    Incomplete,
    Malformed,
}

/// How the end of a body is determined.
enum Framing {
    Length(usize),
    Chunked,
}

impl Framing {
    /// Reads the body at the beginning of `bytes`.
    fn read_body<'a>(&self, bytes: &'a [u8], max_body: usize) -> Body<'a> {
        match *self {
            Self::Length(length) if length > max_body => Body::too_long(bytes),
            Self::Length(length) if length > bytes.len() => Body::Incomplete,
            Self::Length(length) => Body::Complete {
                body: Some(Cow::Borrowed(&bytes[..length])),
                consumed: length,
            },
            Self::Chunked => join_chunks(bytes, max_body),
        }
    }
}

impl Body<'_> {
    /// Returns a body above the size limit. All bytes received so far are discarded.
    fn too_long(bytes: &[u8]) -> Self {
        Self::Complete {
            body: None,
            consumed: bytes.len(),
        }
    }
}

/// Joins the chunks of a body with chunked transfer encoding.
fn join_chunks(bytes: &[u8], max_body: usize) -> Body<'_> {
    let mut body = Vec::new();
    let mut consumed = 0;
    loop {
        let (size_line, size) = match httparse::parse_chunk_size(&bytes[consumed..]) {
            Ok(httparse::Status::Complete(found)) => found,
            Ok(httparse::Status::Partial) => return Body::Incomplete,
            Err(_) => return Body::Malformed,
        };
        if size > (max_body - body.len()) as u64 {
            return Body::too_long(bytes);
        }
        let (start, size) = (consumed + size_line, size as usize);
        let Some(chunk) = bytes.get(start..start + size + LINE_END.len()) else {
            return Body::Incomplete;
        };
        if &chunk[size..] != LINE_END {
            return Body::Malformed;
        }
        body.extend_from_slice(&chunk[..size]);
        consumed = start + size + LINE_END.len();
        if size == 0 {
            return Body::Complete {
                body: Some(Cow::Owned(body)),
                consumed,
            };
        }
    }
}
