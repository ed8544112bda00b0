//! The server for peers and administrators.
//!
//! Peers send messages encoded with bitcode, administrators JSON. Requests for process-local data (counts of refused
//! requests, resource usage) are answered here; all others are queued for the core.

use super::Intake;
use crate::http::{Request, Response, Server};
use crate::input_queues::InputQueues;
use crate::process_usage::ResourceLimits;
use crate::refusal_counters::RefusalCounters;
use rudderreel_core::{AdminRequest, Input, ReqId, RequestOrigin, UserRequest};
use rudderreel_wire::peer::{
    Forward, ForwardedReports, ForwardedSubmission, Heartbeat, ReplicateCancellations,
    SenderVersion, FORWARDED_REPORTS_PATH, FORWARD_PATH, HEARTBEAT_PATH,
    REPLICATE_CANCELLATIONS_PATH,
};
use serde::Serialize;

/// Paths of the administration API.
const ADMIN_PREFIX: &str = "/admin/";
const REFUSALS_PATH: &str = "/admin/refusals";
const PROCESS_PATH: &str = "/admin/process";
const SETTINGS_PATH: &str = "/admin/settings";

/// Serves peers and administrators; never returns.
pub fn serve_peers(
    server: Server,
    core: &InputQueues,
    refusals: &RefusalCounters,
    resource_limits: ResourceLimits,
) {
    let intake = Intake { core, refusals };
    server.serve(|id, request| handle(id, &request, &intake, resource_limits));
}

pub(super) fn handle(
    id: ReqId,
    request: &Request,
    intake: &Intake,
    resource_limits: ResourceLimits,
) -> Option<Response> {
    let Some(bytes) = request.body else {
        return Some(Response::error(400, "the body is too long"));
    };
    match (request.method, request.url) {
        ("POST", HEARTBEAT_PATH) => enqueue_message(intake, bytes, |heartbeat: Heartbeat| {
            Input::Heartbeat(id, heartbeat)
        }),
        ("POST", REPLICATE_CANCELLATIONS_PATH) => {
            enqueue_message(intake, bytes, |cancellations: ReplicateCancellations| {
                Input::ReplicateCancellations(id, cancellations)
            })
        }
        ("POST", FORWARDED_REPORTS_PATH) => {
            enqueue_message(intake, bytes, |reports: ForwardedReports| {
                Input::ForwardedReports(id, reports)
            })
        }
        ("POST", FORWARD_PATH) => match parse_forwarded(id, bytes) {
            Some(input) => intake.enqueue(input),
            None => intake.refuse_unreadable("unreadable"),
        },
        ("GET", REFUSALS_PATH) => respond_with(&intake.refusals.counts()),
        ("GET", PROCESS_PATH) => respond_with(&resource_limits.with_usage()),
        (method, path) if path.starts_with(ADMIN_PREFIX) => {
            enqueue_admin_request(id, method, path, bytes, intake)
        }
        _ => Some(Response::error(404, "no such path")),
    }
}

/// Decodes a peer's message and queues it for the core.
fn enqueue_message<T: bitcode::DecodeOwned>(
    intake: &Intake,
    bytes: &[u8],
    to_input: impl FnOnce(T) -> Input,
) -> Option<Response> {
    match bitcode::decode::<T>(bytes) {
        Ok(message) => intake.enqueue(to_input(message)),
        Err(e) => intake.refuse_unreadable(&e.to_string()),
    }
}

fn respond_with<T: Serialize>(value: &T) -> Option<Response> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    Some(Response::json(200, body))
}

/// Parses a request of the administration API and queues it for the core.
fn enqueue_admin_request(
    id: ReqId,
    method: &str,
    path: &str,
    bytes: &[u8],
    intake: &Intake,
) -> Option<Response> {
    let request = match method {
        "PUT" if path == SETTINGS_PATH => match serde_json::from_slice(bytes) {
            Ok(settings) => Some(AdminRequest::ReplaceSettings(Box::new(settings))),
            Err(e) => return intake.refuse_unreadable(&e.to_string()),
        },
        "GET" => AdminRequest::of_path(path),
        _ => {
            let text = "only GET, and PUT for settings, are allowed here";
            return Some(Response::error(405, text));
        }
    };
    match request {
        Some(request) => intake.enqueue(Input::Admin {
            req: id,
            request,
            origin: RequestOrigin::Direct,
        }),
        None => Some(Response::error(404, "no such path")),
    }
}

/// Decodes a request that a peer forwarded; returns `None` if it cannot be decoded or names an invalid path or id.
fn parse_forwarded(id: ReqId, bytes: &[u8]) -> Option<Input> {
    // The peer's version matters only for submissions.
    let any_version = SenderVersion::KnowsDependencies;
    Some(match bitcode::decode::<Forward>(bytes).ok()? {
        Forward::Admin(path) => Input::Admin {
            req: id,
            request: AdminRequest::of_path(&path)?,
            origin: RequestOrigin::Peer,
        },
        Forward::Submit(text) => {
            let ForwardedSubmission { spec, sender } = ForwardedSubmission::parse(&text)?;
            Input::ForwardedRequest {
                req: id,
                request: UserRequest::Submit(Box::new(spec)),
                sender,
            }
        }
        Forward::Status(job) => Input::ForwardedRequest {
            req: id,
            request: UserRequest::Status(job.parse().ok()?),
            sender: any_version,
        },
        Forward::Cancel(job) => Input::ForwardedRequest {
            req: id,
            request: UserRequest::Cancel(job.parse().ok()?),
            sender: any_version,
        },
    })
}
