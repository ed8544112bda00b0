//! Clients of the store, the cloud, agents, peers and the administration API.
//!
//! Every call has time limits, and every error becomes an answer that the caller can handle. Answers distinguish a
//! call that was surely not made from a call that may have been carried out.

pub mod admin;
pub mod agents;
pub mod cloud;
pub mod http_client;
pub mod peers;
pub mod store;

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::io::ErrorKind;
use ureq::{Agent, Error};

/// Maximum size of a response, in bytes. The protocol limits a page of keys to 512 KiB. A watch's response has no
/// limit: if it is longer than this, it is not requested again, but all keys are read again in pages.
const MAX_RESPONSE_BYTES: u64 = 4 << 20;

/// Outcome of an HTTP call.
enum Reply {
    /// A response with its status and body.
    Response(u16, Vec<u8>),
    /// No connection was made, so nothing was sent.
    NotSent,
    /// A response longer than [`MAX_RESPONSE_BYTES`].
    TooLong,
    /// No usable response: the call may have been carried out.
    Unknown,
}

fn read_reply(result: Result<ureq::http::Response<ureq::Body>, Error>) -> Reply {
    match result {
        Ok(response) => read_response(response),
        Err(Error::ConnectionFailed | Error::HostNotFound) => Reply::NotSent,
        Err(Error::Timeout(ureq::Timeout::Connect)) => Reply::NotSent,
        Err(Error::Io(e)) if e.kind() == ErrorKind::ConnectionRefused => Reply::NotSent,
        Err(_) => Reply::Unknown,
    }
}

fn read_response(mut response: ureq::http::Response<ureq::Body>) -> Reply {
    let status = response.status().as_u16();
    let body = (response.body_mut().with_config())
        .limit(MAX_RESPONSE_BYTES)
        .read_to_vec();
    match body {
        Ok(bytes) => Reply::Response(status, bytes),
        Err(Error::BodyExceedsLimit(_)) => Reply::TooLong,
        Err(_) => Reply::Unknown,
    }
}

fn get(client: &Agent, url: &str) -> Reply {
    read_reply(client.get(url).call())
}

fn delete(client: &Agent, url: &str) -> Reply {
    read_reply(client.delete(url).call())
}

fn post(client: &Agent, url: &str, body: &[u8]) -> Reply {
    let request = client.post(url).header("Content-Type", "application/json");
    read_reply(request.send(body))
}

fn post_json<T: Serialize>(client: &Agent, url: &str, body: &T) -> Reply {
    match serde_json::to_vec(body) {
        Ok(bytes) => post(client, url, &bytes),
        Err(_) => Reply::NotSent,
    }
}

/// Parses a JSON object and converts it with `answer`; returns `unreadable` if it cannot be parsed.
fn parse_json<T: DeserializeOwned, A>(bytes: &[u8], unreadable: A, answer: impl Fn(T) -> A) -> A {
    // serde also reads a struct from a JSON array, which no response is: `[]` would be read as a commit.
    if bytes.iter().find(|b| !b.is_ascii_whitespace()) != Some(&b'{') {
        log::warn!("unreadable response reason=not_a_json_object");
        return unreadable;
    }
    match serde_json::from_slice(bytes) {
        Ok(value) => answer(value),
        Err(e) => {
            log::warn!("unreadable response reason={e}");
            unreadable
        }
    }
}

#[cfg(test)]
mod tests;
