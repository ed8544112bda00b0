//! Calls to the outside: the store, the cloud, agents, peers, and the administration API.
//!
//! Every call has time limits, and whatever goes wrong becomes an answer that the caller can deal with. What
//! matters is kept apart: a call that was surely not made, and one that may have been carried out.

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

/// Bytes of the longest response that is read. By the protocol a page of keys has 512 KiB at most. A watch's
/// response has no bound: one that is longer is not asked for again, but everything read anew, in pages.
const MAX_RESPONSE_BYTES: u64 = 4 << 20;

/// What came back, if anything usable did.
enum Reply {
    /// A response with a status and a body.
    Response(u16, Vec<u8>),
    /// No connection was made, so nothing was sent.
    NotSent,
    /// A response that is longer than what is read.
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

/// What a JSON body says, or `unreadable` if it can't be read.
fn parse_json<T: DeserializeOwned, A>(bytes: &[u8], unreadable: A, answer: impl Fn(T) -> A) -> A {
    // A struct may also be read from an array, which no response is: `[]` was taken for a commit.
    if bytes.iter().find(|b| !b.is_ascii_whitespace()) != Some(&b'{') {
        log::warn!("unreadable response reason=no JSON object");
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
