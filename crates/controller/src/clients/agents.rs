//! Direct calls to agents.

use super::{parse_json, post_json, Reply};
use rudderreel_core::DirectOutcome;
use rudderreel_wire::worker::DirectCommands;
use ureq::Agent;

/// Sends commands to the agent at `addr`.
pub fn call_agent(client: &Agent, addr: &str, commands: &DirectCommands) -> DirectOutcome {
    match post_json(client, &format!("http://{addr}/orders"), commands) {
        Reply::Response(200, bytes) => parse_json(&bytes, DirectOutcome::Unknown, |report| {
            DirectOutcome::Executed(Box::new(report))
        }),
        Reply::Response(409, bytes) => {
            DirectOutcome::Rejected(serde_json::from_slice(&bytes).ok().map(Box::new))
        }
        Reply::Response(400, _) => DirectOutcome::Rejected(None),
        Reply::NotSent => DirectOutcome::NotSent,
        _ => DirectOutcome::Unknown,
    }
}
