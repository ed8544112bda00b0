//! HTTP servers: one for users, workers and health checks, one for peers and administrators.

use crate::counters::Refusals;
use crate::http::{self, Answer, Answers, Limits, Request, Server};
use crate::inputs::{InputQueues, QueueFull};
use crate::process_limits::ProcessLimits;
use crate::process_usage::Allowance;
use crate::requests::{self, Incoming, MAX_BODY};
use rudderreel_core::{AdminRequest, Input, ReqId, UserRequest};
use rudderreel_wire::peer::{
    Forward, ForwardedReports, ForwardedSubmission, Heartbeat, ReplicateCancellations,
    SenderVersion, MAX_MESSAGE_BYTES,
};
use rudderreel_wire::settings::Settings;
use std::sync::Arc;

/// Tell the servers' requests apart.
const FRONT: u8 = 0;
const PEERS: u8 = 1;
/// Path of what the servers refused.
const REFUSALS: &str = "/admin/refusals";
/// Path of what the process uses.
const PROCESS: &str = "/admin/process";

/// Requests that wait for the core's answer.
#[derive(Clone, Default)]
pub struct Open {
    servers: Vec<Answers>,
}

impl Open {
    /// Answers a request with JSON.
    pub fn answer(&self, id: ReqId, status: u16, body: String, retry_after: Option<u32>) {
        let answer = Answer {
            retry_after,
            ..Answer::json(status, body.into_bytes())
        };
        self.send(id, answer);
    }

    /// Answers a peer with bytes.
    pub fn answer_bytes(&self, id: ReqId, body: Vec<u8>) {
        self.send(id, Answer::json(200, body));
    }

    fn send(&self, id: ReqId, answer: Answer) {
        if let Some(server) = self.servers.get(http::mark_of(id) as usize) {
            server.send(id, answer);
        }
    }
}

/// The servers of a node, which listen.
pub struct Servers {
    /// For users, workers and health checks.
    pub front: Server,
    /// For peers and administrators.
    pub peers: Server,
    /// Where their requests are answered.
    pub open: Open,
    /// What they refused.
    pub counters: Arc<Refusals>,
}

/// Listens for users and workers, and for peers.
pub fn listen(settings: &Settings, limits: &ProcessLimits) -> Result<Servers, String> {
    let connections = &limits.connections;
    let for_front = Limits {
        connections: connections.front,
        workers: connections.workers,
        body: MAX_BODY,
        buffered: limits.buffered,
    };
    let for_peers = Limits {
        connections: connections.peers,
        workers: 0,
        body: MAX_MESSAGE_BYTES,
        buffered: limits.buffered,
    };
    let counters = Arc::<Refusals>::default();
    let (front, a) = Server::listen(settings.listen, FRONT, for_front, counters.clone())?;
    let (peers, b) = Server::listen(settings.peer_listen, PEERS, for_peers, counters.clone())?;
    Ok(Servers {
        front,
        peers,
        open: Open {
            servers: vec![a, b],
        },
        counters,
    })
}

/// Hands inputs to the core and counts what is refused.
struct Intake<'a> {
    core: &'a InputQueues,
    refusals: &'a Refusals,
}

impl Intake<'_> {
    /// Hands an input to the core. If the core is too far behind, the request is refused at once.
    fn hand_over(&self, input: Input) -> Option<Answer> {
        let QueueFull = self.core.offer(input).err()?;
        self.refusals.queue_full.add();
        Some(Answer::error(503, "overloaded"))
    }

    /// Refuses what could not be read.
    fn unreadable(&self, why: &str) -> Option<Answer> {
        self.refusals.unreadable.add();
        Some(Answer::error(400, why))
    }

    /// Hands over what a message of a peer says.
    fn message<T: bitcode::DecodeOwned>(
        &self,
        bytes: &[u8],
        input: impl FnOnce(T) -> Input,
    ) -> Option<Answer> {
        match bitcode::decode::<T>(bytes) {
            Ok(message) => self.hand_over(input(message)),
            Err(e) => self.unreadable(&e.to_string()),
        }
    }
}

/// Serves users, workers and health checks.
pub fn serve_front(server: Server, core: &InputQueues, refusals: &Refusals) {
    let intake = Intake { core, refusals };
    server.serve(
        |id, request| match requests::front(request.method, request.url, request.body) {
            Ok(Incoming::User(user)) => intake.hand_over(Input::User(id, user)),
            Ok(Incoming::StatusReport(report)) => intake.hand_over(Input::StatusReport(id, report)),
            Ok(Incoming::Health) => intake.hand_over(Input::Health(id)),
            Err(rejected) => {
                if rejected.status == 400 && request.body.is_some() {
                    refusals.unreadable.add();
                }
                Some(Answer::error(rejected.status, &rejected.text))
            }
        },
    );
}

/// Serves peers and administrators.
pub fn serve_peers(server: Server, core: &InputQueues, refusals: &Refusals, allowance: Allowance) {
    let intake = Intake { core, refusals };
    server.serve(|id, request| peer_request(id, &request, &intake, allowance));
}

fn peer_request(
    id: ReqId,
    request: &Request,
    intake: &Intake,
    allowance: Allowance,
) -> Option<Answer> {
    let Some(bytes) = request.body else {
        return Some(Answer::error(400, "the body is too long"));
    };
    match (request.method, request.url) {
        ("POST", "/peer/heartbeat") => intake.message(bytes, |heartbeat: Heartbeat| {
            Input::Heartbeat(id, heartbeat)
        }),
        ("POST", "/peer/announce") => intake.message(bytes, |told: ReplicateCancellations| {
            Input::ReplicateCancellations(id, told)
        }),
        ("POST", "/peer/reports") => intake.message(bytes, |reports: ForwardedReports| {
            Input::ForwardedReports(id, reports)
        }),
        ("POST", "/peer/forward") => match forwarded(bytes) {
            Some(ForwardedTo::User(user, sender)) => {
                intake.hand_over(Input::ForwardedRequest(id, user, sender))
            }
            Some(ForwardedTo::Admin(ask)) => intake.hand_over(Input::Admin(id, ask, false)),
            None => intake.unreadable("unreadable"),
        },
        ("GET", REFUSALS) => {
            let body = intake.refusals.as_json().to_string();
            Some(Answer::json(200, body.into_bytes()))
        }
        ("GET", PROCESS) => {
            let body = allowance.and_usage().to_string();
            Some(Answer::json(200, body.into_bytes()))
        }
        (method, path) if path.starts_with("/admin/") => admin(id, method, path, bytes, intake),
        _ => Some(Answer::error(404, "no such path")),
    }
}

/// Serves the administration API.
fn admin(id: ReqId, method: &str, path: &str, bytes: &[u8], intake: &Intake) -> Option<Answer> {
    let ask = match method {
        "PUT" if path == "/admin/settings" => match serde_json::from_slice(bytes) {
            Ok(new) => Some(AdminRequest::Replace(Box::new(new))),
            Err(e) => return intake.unreadable(&e.to_string()),
        },
        "GET" => AdminRequest::of_path(path),
        _ => {
            let text = "only GET, and PUT for settings, are allowed here";
            return Some(Answer::error(405, text));
        }
    };
    match ask {
        Some(ask) => intake.hand_over(Input::Admin(id, ask, true)),
        None => Some(Answer::error(404, "no such path")),
    }
}

enum ForwardedTo {
    User(UserRequest, SenderVersion),
    Admin(AdminRequest),
}

fn forwarded(bytes: &[u8]) -> Option<ForwardedTo> {
    // Only of a submission it matters which version the peer has.
    let any = SenderVersion::KnowsDependencies;
    Some(match bitcode::decode::<Forward>(bytes).ok()? {
        Forward::Admin(path) => ForwardedTo::Admin(AdminRequest::of_path(&path)?),
        Forward::Submit(text) => {
            let ForwardedSubmission { spec, sender } = ForwardedSubmission::parse(&text)?;
            ForwardedTo::User(UserRequest::Submit(Box::new(spec)), sender)
        }
        Forward::Status(id) => ForwardedTo::User(UserRequest::Status(id.parse().ok()?), any),
        Forward::Cancel(id) => ForwardedTo::User(UserRequest::Cancel(id.parse().ok()?), any),
    })
}

#[cfg(test)]
mod tests;
