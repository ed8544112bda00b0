//! Reading a request from bytes that may come in parts.

use std::borrow::Cow;

/// A request's head may be so long.
pub(super) const MAX_HEAD: usize = 16 * 1024;
/// Headers that a request may have.
const MAX_HEADERS: usize = 64;

/// A request that is complete.
pub(super) struct Whole<'a> {
    pub(super) method: &'a str,
    pub(super) url: &'a str,
    /// None if it is too long: then the rest of it is not read.
    pub(super) body: Option<Cow<'a, [u8]>>,
    pub(super) used: usize,
    pub(super) close: bool,
}

pub(super) enum Parsed<'a> {
    /// More must come; the client may wait to be told to send it.
    Partial {
        wants_go: bool,
    },
    Bad,
    Whole(Whole<'a>),
}

pub(super) fn parse(bytes: &[u8], most: usize) -> Parsed<'_> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let start = match head.parse(bytes) {
        Ok(httparse::Status::Complete(start)) => start,
        Ok(httparse::Status::Partial) if bytes.len() <= MAX_HEAD => {
            return Parsed::Partial { wants_go: false };
        }
        _ => return Parsed::Bad,
    };
    let (Some(method), Some(url)) = (head.method, head.path) else {
        return Parsed::Bad;
    };
    let mut framing = Framing::Length(0);
    let mut close = head.version == Some(0);
    let mut wants_go = false;
    for header in head.headers.iter() {
        let Ok(value) = std::str::from_utf8(header.value) else {
            continue;
        };
        let value = value.trim();
        let is = |name: &str| header.name.eq_ignore_ascii_case(name);
        if is("content-length") {
            match value.parse() {
                Ok(n) => framing = Framing::Length(n),
                Err(_) => return Parsed::Bad,
            }
        } else if is("transfer-encoding") {
            framing = Framing::Chunked;
        } else if is("connection") {
            close |= value.eq_ignore_ascii_case("close");
        } else if is("expect") {
            wants_go = value.eq_ignore_ascii_case("100-continue");
        }
    }
    let rest = &bytes[start..];
    let (body, used) = match framing {
        Framing::Length(n) if n > most => (None, rest.len()),
        Framing::Length(n) if n > rest.len() => return Parsed::Partial { wants_go },
        Framing::Length(n) => (Some(Cow::Borrowed(&rest[..n])), n),
        Framing::Chunked => match chunks(rest, most) {
            Chunks::Whole(body, used) => (Some(Cow::Owned(body)), used),
            Chunks::TooLong => (None, rest.len()),
            Chunks::Partial => return Parsed::Partial { wants_go },
            Chunks::Bad => return Parsed::Bad,
        },
    };
    Parsed::Whole(Whole {
        method,
        url,
        body,
        used: start + used,
        close,
    })
}

enum Framing {
    Length(usize),
    Chunked,
}

enum Chunks {
    Whole(Vec<u8>, usize),
    TooLong,
    Partial,
    Bad,
}

fn chunks(bytes: &[u8], most: usize) -> Chunks {
    let mut body = Vec::new();
    let mut at = 0;
    loop {
        let (head, size) = match httparse::parse_chunk_size(&bytes[at..]) {
            Ok(httparse::Status::Complete(found)) => found,
            Ok(httparse::Status::Partial) => return Chunks::Partial,
            Err(_) => return Chunks::Bad,
        };
        if size > (most - body.len()) as u64 {
            return Chunks::TooLong;
        }
        let (from, size) = (at + head, size as usize);
        let Some(chunk) = bytes.get(from..from + size + 2) else {
            return Chunks::Partial;
        };
        if &chunk[size..] != b"\r\n" {
            return Chunks::Bad;
        }
        body.extend_from_slice(&chunk[..size]);
        at = from + size + 2;
        if size == 0 {
            return Chunks::Whole(body, at);
        }
    }
}
