//! Messages to other nodes, encoded with bitcode.

use super::{post, Reply};
use bitcode::{DecodeOwned, Encode};
use rudderreel_wire::peer::{
    Forward, ForwardedReports, ForwardedReportsReply, Heartbeat, HeartbeatReply,
    ReplicateCancellations, ReplicateCancellationsReply, FORWARDED_REPORTS_PATH, FORWARD_PATH,
    HEARTBEAT_PATH, REPLICATE_CANCELLATIONS_PATH,
};
use std::net::SocketAddrV4;
use ureq::Agent;

/// Sends a heartbeat to a peer; returns its reply, if there is a usable one.
pub fn send_heartbeat(
    client: &Agent,
    addr: SocketAddrV4,
    heartbeat: &Heartbeat,
) -> Option<HeartbeatReply> {
    exchange(client, &format!("http://{addr}{HEARTBEAT_PATH}"), heartbeat)
}

/// Forwards status reports to the leader; returns its reply, if there is a usable one.
pub fn forward_reports(
    client: &Agent,
    addr: SocketAddrV4,
    reports: &ForwardedReports,
) -> Option<ForwardedReportsReply> {
    exchange(
        client,
        &format!("http://{addr}{FORWARDED_REPORTS_PATH}"),
        reports,
    )
}

/// Replicates cancellations to a peer; returns its reply, if there is a usable one.
pub fn replicate_cancellations(
    client: &Agent,
    addr: SocketAddrV4,
    cancellations: &ReplicateCancellations,
) -> Option<ReplicateCancellationsReply> {
    exchange(
        client,
        &format!("http://{addr}{REPLICATE_CANCELLATIONS_PATH}"),
        cancellations,
    )
}

/// Sends a message and returns the reply, if there is a usable one.
fn exchange<M: Encode, R: DecodeOwned>(client: &Agent, url: &str, message: &M) -> Option<R> {
    match post(client, url, &bitcode::encode(message)) {
        Reply::Response(200, bytes) => bitcode::decode(&bytes).ok(),
        _ => None,
    }
}

/// Forwards a user's or an administrator's request to a peer; returns the status and body of the response, if there
/// is a usable one.
pub fn forward(client: &Agent, addr: SocketAddrV4, request: &Forward) -> Option<(u16, String)> {
    let url = format!("http://{addr}{FORWARD_PATH}");
    match post(client, &url, &bitcode::encode(request)) {
        Reply::Response(status, bytes) => Some((status, String::from_utf8(bytes).ok()?)),
        _ => None,
    }
}
