//! Client of a running node's administration API.

use super::http_client::{http_client, CallLimits};
use super::{get, read_reply, Reply};
use std::time::Duration;
use ureq::Agent;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A response of the administration API.
pub struct AdminResponse {
    /// HTTP status.
    pub status: u16,
    /// Response body, which is JSON.
    pub body: String,
}

/// Sends a GET request to the administration API. Returns `None` if there is no response.
pub fn read(url: &str) -> Option<AdminResponse> {
    response(get(&client(), url))
}

/// Sends a PUT request with a JSON body to the administration API. Returns `None` if there is no response.
pub fn replace(url: &str, body: &[u8]) -> Option<AdminResponse> {
    let request = client().put(url).header("Content-Type", "application/json");
    response(read_reply(request.send(body)))
}

fn client() -> Agent {
    http_client(CallLimits::new(CONNECT_TIMEOUT, CALL_TIMEOUT))
}

fn response(reply: Reply) -> Option<AdminResponse> {
    match reply {
        Reply::Response(status, bytes) => Some(AdminResponse {
            status,
            body: String::from_utf8_lossy(&bytes).into_owned(),
        }),
        _ => None,
    }
}
