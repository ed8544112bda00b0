//! Calls to the consensus-backed key-value store (the protocol's state service).

use super::{delete, get, parse_json, post, post_json, Reply};
use rudderreel_core::{StoreAnswer, StoreCall, Value};
use rudderreel_wire::ids::Version;
use rudderreel_wire::state::{Events, Item, Lease, LeaseRequest, Page, TransactionReply};
use std::net::SocketAddrV4;
use ureq::Agent;

/// Numbers of keys to request in one page: the first, and the smaller ones that follow each response that is too long.
const KEYS_PER_PAGE: [u32; 3] = [200, 20, 1];
/// Time that the store holds a watch open without a change, in milliseconds.
const WATCH_BLOCK_MS: u64 = 10_000;

/// Reads a page of keys. If the response exceeds the size limit, requests fewer keys: the same request would exceed it
/// forever.
fn list_keys(client: &Agent, url: &str) -> Reply {
    let mut reply = Reply::TooLong;
    for keys in KEYS_PER_PAGE {
        reply = get(client, &format!("{url}&most={keys}"));
        if !matches!(reply, Reply::TooLong) {
            break;
        }
    }
    reply
}

/// Makes a call to the store at `addr`.
pub fn call_store(client: &Agent, addr: SocketAddrV4, call: &StoreCall) -> StoreAnswer {
    let reply = match call {
        StoreCall::Get(key) => get(client, &format!("http://{addr}/keys/{key}")),
        StoreCall::List(prefix, after) => {
            let after = after
                .as_ref()
                .map(|k| format!("&after={k}"))
                .unwrap_or_default();
            list_keys(
                client,
                &format!("http://{addr}/keys?prefix={prefix}{after}"),
            )
        }
        StoreCall::Changes(prefix, after) => get(client, &changes_url(addr, prefix, *after)),
        StoreCall::Commit(transaction) => {
            post_json(client, &format!("http://{addr}/commit"), transaction)
        }
        StoreCall::AcquireLease(ttl_ms) => {
            let body = LeaseRequest { ttl_ms: *ttl_ms };
            post_json(client, &format!("http://{addr}/holds"), &body)
        }
        StoreCall::RenewLease(id) => {
            post(client, &format!("http://{addr}/holds/{id}/renew"), b"{}")
        }
        StoreCall::EndLease(id) => delete(client, &format!("http://{addr}/holds/{id}")),
    };
    match reply {
        Reply::Response(status, body) => store_answer(call, status, &body),
        // Nothing was sent, so the store cannot have executed the call.
        Reply::NotSent => StoreAnswer::Refused,
        Reply::Unknown | Reply::TooLong => StoreAnswer::Unknown,
    }
}

/// The store's error text for a `set` whose lease has ended. A 400 with any other text rejects the transaction itself.
const NO_SUCH_LEASE: &str = "no such lease";

pub(super) fn store_answer(call: &StoreCall, status: u16, body: &[u8]) -> StoreAnswer {
    match (status, call) {
        (200, StoreCall::Get(_)) => parse_json(body, StoreAnswer::Unknown, |i: Item<Value>| {
            StoreAnswer::Found(i)
        }),
        (200, StoreCall::List(..)) => parse_json(body, StoreAnswer::Unknown, |p: Page<Value>| {
            StoreAnswer::Page(p)
        }),
        (200, StoreCall::Changes(..)) => {
            parse_json(body, StoreAnswer::Unknown, |e: Events<Value>| {
                StoreAnswer::Changes(e)
            })
        }
        (200, StoreCall::Commit(_)) => {
            parse_json(body, StoreAnswer::Unknown, |c: TransactionReply| {
                StoreAnswer::Committed(c.revision)
            })
        }
        (200, StoreCall::AcquireLease(_)) => parse_json(body, StoreAnswer::Unknown, |l: Lease| {
            StoreAnswer::Lease(l.lease)
        }),
        (200..=204, StoreCall::RenewLease(_) | StoreCall::EndLease(_)) => StoreAnswer::Done,
        (404, _) => StoreAnswer::Missing,
        (409, _) => parse_json(body, StoreAnswer::Unknown, |c: TransactionReply| {
            StoreAnswer::Conflict(c.failed)
        }),
        (400, StoreCall::Commit(_)) => {
            let text = String::from_utf8_lossy(body);
            log::warn!("transaction rejected by the store reason={text}");
            if text.contains(NO_SUCH_LEASE) {
                StoreAnswer::NoSuchLease
            } else {
                StoreAnswer::Rejected
            }
        }
        _ => StoreAnswer::Refused,
    }
}

/// Returns the URL of the changes after a revision to keys with a prefix.
fn changes_url(addr: SocketAddrV4, prefix: &str, after: Version) -> String {
    format!("http://{addr}/changes?prefix={prefix}&after={after}")
}

/// Outcome of a watch.
pub enum WatchReply {
    /// The changes after the revision; empty if there were none in time.
    Events(Events<Value>),
    /// The store no longer keeps the changes after the revision, or the response is too long: everything must be read
    /// again.
    Lost,
    /// No usable answer.
    Failed,
}

/// Waits for changes after a revision to keys with a prefix.
pub fn watch_store(client: &Agent, addr: SocketAddrV4, prefix: &str, after: Version) -> WatchReply {
    let changes = changes_url(addr, prefix, after);
    let url = format!("{changes}&blockMs={WATCH_BLOCK_MS}");
    match get(client, &url) {
        Reply::Response(200, body) => parse_json(&body, WatchReply::Failed, WatchReply::Events),
        Reply::Response(410, _) | Reply::TooLong => WatchReply::Lost,
        _ => WatchReply::Failed,
    }
}
