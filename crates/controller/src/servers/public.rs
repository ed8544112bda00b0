//! The public server, which handles users' requests, agents' status reports and health checks.

use super::public_requests::{self, PublicRequest};
use super::Intake;
use crate::http::{Request, Response, Server};
use crate::input_queues::InputQueues;
use crate::refusal_counters::RefusalCounters;
use rudderreel_core::{Input, ReqId};

/// Serves users, agents and health checks; never returns.
pub fn serve_public(server: Server, core: &InputQueues, refusals: &RefusalCounters) {
    let intake = Intake { core, refusals };
    server.serve(|id, request| handle(id, &request, &intake));
}

fn handle(id: ReqId, request: &Request, intake: &Intake) -> Option<Response> {
    match public_requests::parse(request.method, request.url, request.body) {
        Ok(PublicRequest::User(user)) => intake.enqueue(Input::User(id, user)),
        Ok(PublicRequest::StatusReport(report)) => intake.enqueue(Input::StatusReport(id, report)),
        Ok(PublicRequest::Health) => intake.enqueue(Input::Health(id)),
        Err(rejection) => {
            // A body above the size limit has already been counted as too long.
            if rejection.status == 400 && request.body.is_some() {
                intake.refusals.unreadable.increment();
            }
            Some(Response::error(rejection.status, &rejection.text))
        }
    }
}
