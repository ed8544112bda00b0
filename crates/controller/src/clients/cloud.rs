//! Calls to the cloud.

use super::{get, parse_json, post_json, Reply};
use rudderreel_core::{CloudAnswer, CloudCall, Value};
use rudderreel_wire::cloud::MACHINES_PER_PAGE;
use std::net::SocketAddrV4;
use ureq::Agent;

/// Makes a call to the cloud at `addr`.
pub fn call_cloud(client: &Agent, addr: SocketAddrV4, call: &CloudCall) -> CloudAnswer {
    let reply = match call {
        CloudCall::Catalog => get(client, &format!("http://{addr}/catalog")),
        CloudCall::ScaleOut(request) => {
            post_json(client, &format!("http://{addr}/rentals"), request)
        }
        CloudCall::ScaleIn(names) => {
            post_json(client, &format!("http://{addr}/rentals/return"), names)
        }
        CloudCall::List(after) => {
            let after = after
                .as_ref()
                .map(|m| format!("after={m}&"))
                .unwrap_or_default();
            get(
                client,
                &format!("http://{addr}/rentals?{after}most={MACHINES_PER_PAGE}"),
            )
        }
    };
    let Reply::Response(status, body) = reply else {
        return CloudAnswer::Unknown;
    };
    match (status, call) {
        (200, CloudCall::Catalog) => parse_json(&body, CloudAnswer::Unknown, CloudAnswer::Catalog),
        (200, CloudCall::ScaleOut(_)) => {
            parse_json(&body, CloudAnswer::Unknown, CloudAnswer::Rented)
        }
        (200..=204, CloudCall::ScaleIn(_)) => CloudAnswer::Returned,
        (200, CloudCall::List(_)) => parse_json(&body, CloudAnswer::Unknown, CloudAnswer::Page),
        (503, CloudCall::ScaleOut(_)) if is_no_capacity_error(&body) => CloudAnswer::NoCapacity,
        (400, _) => CloudAnswer::Rejected,
        _ => CloudAnswer::Refused,
    }
}

/// Returns whether a refusal means that no machine is available, and not that too many calls were made.
pub(super) fn is_no_capacity_error(body: &[u8]) -> bool {
    let value: Option<Value> = serde_json::from_slice(body).ok();
    value.is_some_and(|v| v["error"] == "no capacity")
}
