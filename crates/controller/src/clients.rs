//! Calls to the outside: the state service, the cloud, workers and peers. Every call has time
//! limits, and whatever goes wrong becomes an answer that the core can deal with.

use rudderreel_core::{CloudAnswer, CloudCall, DirectOutcome, StoreAnswer, StoreCall, Value};
use rudderreel_wire::cloud::MACHINES_PER_PAGE;
use rudderreel_wire::ids::Version;
use rudderreel_wire::peer::{
    Forward, ForwardedReports, ForwardedReportsReply, Heartbeat, HeartbeatReply,
    ReplicateCancellations, ReplicateCancellationsReply,
};
use rudderreel_wire::state::{Committed, Events, Item, Lease, LeaseRequest, Page};
use rudderreel_wire::worker::DirectCommands;
use serde::de::DeserializeOwned;
use std::net::SocketAddrV4;
use ureq::Agent;

mod agent;

pub use agent::{agent, CallLimits};

/// Keys asked for in one page, and fewer each time that the answer is too long to be read.
const PAGES: [u32; 3] = [200, 20, 1];
/// The longest answer that is read. By the protocol a page has 512 KiB at most. A watch's answer has no
/// bound: one that is longer is not asked for again, but everything read anew, in pages.
const MAX_ANSWER: u64 = 4 << 20;
/// Watches wait so long for a change.
const WATCH_MS: u64 = 10_000;

/// What came back, if anything usable did.
enum Reply {
    Status(u16, Vec<u8>),
    NotSent,
    TooLong,
    Nothing,
}

fn finish(result: Result<ureq::http::Response<ureq::Body>, ureq::Error>) -> Reply {
    match result {
        Ok(mut response) => {
            let status = response.status().as_u16();
            let body = response
                .body_mut()
                .with_config()
                .limit(MAX_ANSWER)
                .read_to_vec();
            match body {
                Ok(bytes) => Reply::Status(status, bytes),
                Err(ureq::Error::BodyExceedsLimit(_)) => Reply::TooLong,
                Err(_) => Reply::Nothing,
            }
        }
        Err(ureq::Error::ConnectionFailed | ureq::Error::HostNotFound) => Reply::NotSent,
        Err(ureq::Error::Timeout(ureq::Timeout::Connect)) => Reply::NotSent,
        Err(ureq::Error::Io(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
            Reply::NotSent
        }
        Err(_) => Reply::Nothing,
    }
}

fn get(agent: &Agent, url: &str) -> Reply {
    finish(agent.get(url).call())
}

fn post(agent: &Agent, url: &str, body: &[u8]) -> Reply {
    let request = agent.post(url).header("Content-Type", "application/json");
    finish(request.send(body))
}

fn post_json<T: serde::Serialize>(agent: &Agent, url: &str, body: &T) -> Reply {
    match serde_json::to_vec(body) {
        Ok(bytes) => post(agent, url, &bytes),
        Err(_) => Reply::NotSent,
    }
}

fn parsed<T: DeserializeOwned, A>(bytes: &[u8], unknown: A, answer: impl Fn(T) -> A) -> A {
    // A struct may also be read from an array, which no answer is: `[]` was taken for a commit.
    if bytes.iter().find(|b| !b.is_ascii_whitespace()) != Some(&b'{') {
        log::warn!("an answer that is no JSON object");
        return unknown;
    }
    match serde_json::from_slice(bytes) {
        Ok(value) => answer(value),
        Err(e) => {
            log::warn!("an unreadable answer: {e}");
            unknown
        }
    }
}

/// Reads a page of keys. One that is longer than what is read would be asked for again for ever, so a
/// shorter one is.
fn list(agent: &Agent, url: &str) -> Reply {
    let mut reply = Reply::TooLong;
    for most in PAGES {
        reply = get(agent, &format!("{url}&most={most}"));
        if !matches!(reply, Reply::TooLong) {
            break;
        }
    }
    reply
}

/// Calls the state service.
pub fn call_state(agent: &Agent, addr: SocketAddrV4, call: &StoreCall) -> StoreAnswer {
    let reply = match call {
        StoreCall::Get(key) => get(agent, &format!("http://{addr}/keys/{key}")),
        StoreCall::List(prefix, after) => {
            let after = after
                .as_ref()
                .map(|k| format!("&after={k}"))
                .unwrap_or_default();
            list(agent, &format!("http://{addr}/keys?prefix={prefix}{after}"))
        }
        StoreCall::Commit(transaction) => {
            post_json(agent, &format!("http://{addr}/commit"), transaction)
        }
        StoreCall::NewLease(ttl_ms) => {
            let body = LeaseRequest { ttl_ms: *ttl_ms };
            post_json(agent, &format!("http://{addr}/holds"), &body)
        }
        StoreCall::Renew(id) => post(agent, &format!("http://{addr}/holds/{id}/renew"), b"{}"),
        StoreCall::EndLease(id) => {
            finish(agent.delete(&format!("http://{addr}/holds/{id}")).call())
        }
    };
    match reply {
        Reply::Status(status, body) => state_answer(call, status, &body),
        // Nothing was sent, so nothing can have been executed.
        Reply::NotSent => StoreAnswer::Refused,
        Reply::Nothing | Reply::TooLong => StoreAnswer::Unknown,
    }
}

/// What the state service says of a `set` whose lease has ended; any other 400 rejects the
/// transaction itself.
const NO_SUCH_LEASE: &str = "no such lease";

fn state_answer(call: &StoreCall, status: u16, body: &[u8]) -> StoreAnswer {
    match (status, call) {
        (200, StoreCall::Get(_)) => parsed(body, StoreAnswer::Unknown, |i: Item<Value>| {
            StoreAnswer::Found(i)
        }),
        (200, StoreCall::List(..)) => parsed(body, StoreAnswer::Unknown, |p: Page<Value>| {
            StoreAnswer::Page(p)
        }),
        (200, StoreCall::Commit(_)) => parsed(body, StoreAnswer::Unknown, |c: Committed| {
            StoreAnswer::Committed(c.revision)
        }),
        (200, StoreCall::NewLease(_)) => parsed(body, StoreAnswer::Unknown, |l: Lease| {
            StoreAnswer::Lease(l.lease)
        }),
        (200..=204, StoreCall::Renew(_) | StoreCall::EndLease(_)) => StoreAnswer::Done,
        (404, _) => StoreAnswer::Missing,
        (409, _) => parsed(body, StoreAnswer::Unknown, |c: Committed| {
            StoreAnswer::Conflict(c.failed)
        }),
        (400, StoreCall::Commit(_)) => {
            let text = String::from_utf8_lossy(body);
            log::warn!("the state service says {text}");
            if text.contains(NO_SUCH_LEASE) {
                StoreAnswer::NoSuchLease
            } else {
                StoreAnswer::Rejected
            }
        }
        _ => StoreAnswer::Refused,
    }
}

/// What a watch came back with.
pub enum Watched {
    /// Changes, perhaps none.
    Events(Events<Value>),
    /// The place is lost.
    Lost,
    /// No answer.
    Failed,
}

/// Waits for changes after a revision.
pub fn watch(agent: &Agent, addr: SocketAddrV4, prefix: &str, after: Version) -> Watched {
    let url = format!("http://{addr}/changes?prefix={prefix}&after={after}&blockMs={WATCH_MS}");
    match get(agent, &url) {
        Reply::Status(200, body) => parsed(&body, Watched::Failed, Watched::Events),
        Reply::Status(410, _) | Reply::TooLong => Watched::Lost,
        _ => Watched::Failed,
    }
}

/// Calls the cloud.
pub fn call_cloud(agent: &Agent, addr: SocketAddrV4, call: &CloudCall) -> CloudAnswer {
    let reply = match call {
        CloudCall::Catalog => get(agent, &format!("http://{addr}/catalog")),
        CloudCall::Rent(rent) => post_json(agent, &format!("http://{addr}/rentals"), rent),
        CloudCall::Return(names) => {
            post_json(agent, &format!("http://{addr}/rentals/return"), names)
        }
        CloudCall::List(after) => {
            let after = after
                .as_ref()
                .map(|m| format!("after={m}&"))
                .unwrap_or_default();
            get(
                agent,
                &format!("http://{addr}/rentals?{after}most={MACHINES_PER_PAGE}"),
            )
        }
    };
    let Reply::Status(status, body) = reply else {
        return CloudAnswer::Unknown;
    };
    match (status, call) {
        (200, CloudCall::Catalog) => parsed(&body, CloudAnswer::Unknown, CloudAnswer::Catalog),
        (200, CloudCall::Rent(_)) => parsed(&body, CloudAnswer::Unknown, CloudAnswer::Rented),
        (200..=204, CloudCall::Return(_)) => CloudAnswer::Returned,
        (200, CloudCall::List(_)) => parsed(&body, CloudAnswer::Unknown, CloudAnswer::Page),
        (503, CloudCall::Rent(_)) if is_full(&body) => CloudAnswer::NoCapacity,
        (400, _) => CloudAnswer::Rejected,
        _ => CloudAnswer::Refused,
    }
}

fn is_full(body: &[u8]) -> bool {
    let value: Option<Value> = serde_json::from_slice(body).ok();
    value.is_some_and(|v| v["error"] == "no capacity")
}

/// Sends commands to a worker.
pub fn call_worker(agent: &Agent, addr: &str, body: &DirectCommands) -> DirectOutcome {
    match post_json(agent, &format!("http://{addr}/orders"), body) {
        Reply::Status(200, bytes) => parsed(&bytes, DirectOutcome::Unknown, |report| {
            DirectOutcome::Executed(Box::new(report))
        }),
        Reply::Status(409, bytes) => {
            DirectOutcome::Rejected(serde_json::from_slice(&bytes).ok().map(Box::new))
        }
        Reply::Status(400, _) => DirectOutcome::Rejected(None),
        Reply::NotSent => DirectOutcome::NotSent,
        _ => DirectOutcome::Unknown,
    }
}

/// Passes workers' reports on to the leader.
pub fn pass_reports(
    agent: &Agent,
    addr: SocketAddrV4,
    reports: &ForwardedReports,
) -> Option<ForwardedReportsReply> {
    let url = format!("http://{addr}/peer/reports");
    match post(agent, &url, &bitcode::encode(reports)) {
        Reply::Status(200, bytes) => bitcode::decode(&bytes).ok(),
        _ => None,
    }
}

/// Sends a heartbeat to a peer.
pub fn heartbeat(
    agent: &Agent,
    addr: SocketAddrV4,
    heartbeat: &Heartbeat,
) -> Option<HeartbeatReply> {
    let url = format!("http://{addr}/peer/heartbeat");
    match post(agent, &url, &bitcode::encode(heartbeat)) {
        Reply::Status(200, bytes) => bitcode::decode(&bytes).ok(),
        _ => None,
    }
}

/// Makes cancellations known to a peer.
pub fn announce(
    agent: &Agent,
    addr: SocketAddrV4,
    told: &ReplicateCancellations,
) -> Option<ReplicateCancellationsReply> {
    let url = format!("http://{addr}/peer/announce");
    match post(agent, &url, &bitcode::encode(told)) {
        Reply::Status(200, bytes) => bitcode::decode(&bytes).ok(),
        _ => None,
    }
}

/// An answer of the administration API.
pub enum AdminReply {
    /// Status and body.
    Answer(u16, String),
    /// There was none.
    None,
}

fn admin_reply(reply: Reply) -> AdminReply {
    match reply {
        Reply::Status(status, bytes) => {
            AdminReply::Answer(status, String::from_utf8_lossy(&bytes).into_owned())
        }
        _ => AdminReply::None,
    }
}

/// Reads from the administration API.
pub fn admin_get(url: &str) -> AdminReply {
    admin_reply(get(&agent(CallLimits::of_service(2_000, 10_000)), url))
}

/// Changes something through the administration API.
pub fn admin_put(url: &str, body: &[u8]) -> AdminReply {
    let request = agent(CallLimits::of_service(2_000, 10_000)).put(url);
    admin_reply(finish(
        request
            .header("Content-Type", "application/json")
            .send(body),
    ))
}

/// Forwards a user's request to a peer.
pub fn forward(agent: &Agent, addr: SocketAddrV4, request: &Forward) -> Option<(u16, String)> {
    let url = format!("http://{addr}/peer/forward");
    match post(agent, &url, &bitcode::encode(request)) {
        Reply::Status(status, bytes) => Some((status, String::from_utf8(bytes).ok()?)),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
