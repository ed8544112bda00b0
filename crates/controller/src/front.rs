//! HTTP servers: one for users, workers and health checks, one for peers and administrators.

use crate::http::{self, Answer, Answers, Limits, Request, Server};
use crate::requests::{self, Incoming, MAX_BODY};
use crossbeam_channel::{Sender, TrySendError};
use rudderreel_core::{AdminRequest, Input, ReqId, UserRequest};
use rudderreel_wire::peer::{
    Announcement, Forward, Heartbeat, PassedSubmission, Reports, SenderVersion,
};
use rudderreel_wire::settings::Settings;

/// The largest body that a peer sends: reports of many workers, or counts of many jobs. Reports
/// are passed on in batches well below it.
const MAX_PEER_BODY: usize = 1 << 20;
/// Tell the servers' requests apart.
const FRONT: u8 = 0;
const PEERS: u8 = 1;
/// Sockets that are reckoned with if the platform does not name a limit.
const SOCKETS: usize = 1_024;

/// Inputs on their way to the core: reports are many, and must not hold up the rest.
#[derive(Clone)]
pub struct ToCore {
    /// Reports of workers, and batches of them.
    pub reports: Sender<Input>,
    /// Everything else.
    pub rest: Sender<Input>,
}

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

/// Connections by the sockets that the platform allows: three quarters at the front, of these three
/// quarters for workers, and an eighth for peers. The last eighth is left for this node's own calls.
fn limits(settings: &Settings) -> (Limits, Limits) {
    let allowed = settings.params.limits.as_ref().map(|l| l.fd_limit as usize);
    let sockets = allowed.filter(|n| *n > 0).unwrap_or(SOCKETS);
    let connections = (sockets * 3 / 4).max(16);
    let front = Limits {
        connections,
        workers: connections * 3 / 4,
        body: MAX_BODY,
    };
    let peers = Limits {
        connections: (sockets / 8).max(16),
        workers: 0,
        body: MAX_PEER_BODY,
    };
    (front, peers)
}

/// Listens for users and workers, and for peers.
pub fn listen(settings: &Settings) -> Result<(Server, Server, Open), String> {
    let (for_front, for_peers) = limits(settings);
    let (front, a) = Server::listen(settings.listen, FRONT, for_front)?;
    let (peers, b) = Server::listen(settings.peer_listen, PEERS, for_peers)?;
    Ok((
        front,
        peers,
        Open {
            servers: vec![a, b],
        },
    ))
}

/// Hands an input to the core. If the core is too far behind, the request is refused at once.
fn hand_over(core: &Sender<Input>, input: Input) -> Option<Answer> {
    match core.try_send(input) {
        Ok(()) => None,
        Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
            Some(Answer::error(503, "overloaded"))
        }
    }
}

/// Serves users, workers and health checks.
pub fn serve_front(server: Server, core: &ToCore) {
    server.serve(
        |id, request| match requests::front(request.method, request.url, request.body) {
            Ok(Incoming::User(user)) => hand_over(&core.rest, Input::User(id, user)),
            Ok(Incoming::Report(report)) => hand_over(&core.reports, Input::Report(id, report)),
            Ok(Incoming::Health) => hand_over(&core.rest, Input::Health(id)),
            Err(rejected) => Some(Answer::error(rejected.status, &rejected.text)),
        },
    );
}

/// Serves peers and administrators.
pub fn serve_peers(server: Server, core: &ToCore) {
    server.serve(|id, request| peer_request(id, &request, core));
}

fn peer_request(id: ReqId, request: &Request, core: &ToCore) -> Option<Answer> {
    let Some(bytes) = request.body else {
        return Some(Answer::error(400, "the body is too long"));
    };
    match (request.method, request.url) {
        ("POST", "/peer/heartbeat") => match bitcode::decode::<Heartbeat>(bytes) {
            Ok(beat) => hand_over(&core.rest, Input::Heartbeat(id, beat)),
            Err(e) => Some(Answer::error(400, &e.to_string())),
        },
        ("POST", "/peer/announce") => match bitcode::decode::<Announcement>(bytes) {
            Ok(told) => hand_over(&core.rest, Input::Announced(id, told)),
            Err(e) => Some(Answer::error(400, &e.to_string())),
        },
        ("POST", "/peer/reports") => match bitcode::decode::<Reports>(bytes) {
            Ok(reports) => hand_over(&core.reports, Input::Reports(id, reports)),
            Err(e) => Some(Answer::error(400, &e.to_string())),
        },
        ("POST", "/peer/forward") => match forwarded(bytes) {
            Some(ForwardedTo::User(user, sender)) => {
                hand_over(&core.rest, Input::Forwarded(id, user, sender))
            }
            Some(ForwardedTo::Admin(ask)) => hand_over(&core.rest, Input::Admin(id, ask, false)),
            None => Some(Answer::error(400, "unreadable")),
        },
        (method, path) if path.starts_with("/admin/") => admin(id, method, path, bytes, core),
        _ => Some(Answer::error(404, "no such path")),
    }
}

/// Serves the administration API.
fn admin(id: ReqId, method: &str, path: &str, bytes: &[u8], core: &ToCore) -> Option<Answer> {
    let ask = match method {
        "PUT" if path == "/admin/settings" => match serde_json::from_slice(bytes) {
            Ok(new) => Some(AdminRequest::Replace(Box::new(new))),
            Err(e) => return Some(Answer::error(400, &e.to_string())),
        },
        "GET" => AdminRequest::of_path(path),
        _ => {
            let text = "only GET, and PUT for settings, are allowed here";
            return Some(Answer::error(405, text));
        }
    };
    match ask {
        Some(ask) => hand_over(&core.rest, Input::Admin(id, ask, true)),
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
            let PassedSubmission { spec, sender } = PassedSubmission::parse(&text)?;
            ForwardedTo::User(UserRequest::Submit(Box::new(spec)), sender)
        }
        Forward::Status(id) => ForwardedTo::User(UserRequest::Status(id.parse().ok()?), any),
        Forward::Withdraw(id) => ForwardedTo::User(UserRequest::Withdraw(id.parse().ok()?), any),
    })
}

#[cfg(test)]
mod tests;
