//! Parses requests to the public server. Requests that the protocol does not allow are rejected without involving the
//! core.

use rudderreel_core::UserRequest;
use rudderreel_wire::ids::{BadId, JobId};
use rudderreel_wire::job::JobSpec;
use rudderreel_wire::worker::StatusReport;

/// Maximum size of a request's body by the protocol, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// A request to the public server.
#[derive(Debug)]
pub enum PublicRequest {
    /// A user's request.
    User(UserRequest),
    /// An agent's status report.
    StatusReport(Box<StatusReport>),
    /// A health check.
    Health,
}

/// A request that the protocol does not allow.
#[derive(Debug, PartialEq)]
pub struct Rejection {
    /// HTTP status of the response.
    pub status: u16,
    /// Error text of the response.
    pub text: String,
}

fn reject<T>(status: u16, text: impl Into<String>) -> Result<T, Rejection> {
    Err(Rejection {
        status,
        text: text.into(),
    })
}

/// Parses a request. `body` is `None` if it exceeds [`MAX_BODY_BYTES`].
pub fn parse(method: &str, url: &str, body: Option<&[u8]>) -> Result<PublicRequest, Rejection> {
    let path = url.split('?').next().unwrap_or("");
    let parts: Vec<&str> = path.split('/').skip(1).collect();
    match parts.as_slice() {
        ["up"] => require_method(method, "GET").map(|()| PublicRequest::Health),
        ["v1", "jobs"] => {
            require_method(method, "POST")?;
            let spec = parse_submission(require_body(body)?)?;
            Ok(PublicRequest::User(UserRequest::Submit(Box::new(spec))))
        }
        ["v1", "jobs", id] => {
            require_method(method, "GET")?;
            let id = parse_job_id(id)?;
            Ok(PublicRequest::User(UserRequest::Status(id)))
        }
        ["v1", "jobs", id, "withdraw"] => {
            require_method(method, "POST")?;
            let id = parse_job_id(id)?;
            Ok(PublicRequest::User(UserRequest::Cancel(id)))
        }
        ["v1", "report"] => {
            require_method(method, "POST")?;
            match serde_json::from_slice(require_body(body)?) {
                Ok(report) => Ok(PublicRequest::StatusReport(Box::new(report))),
                Err(e) => reject(400, e.to_string()),
            }
        }
        _ => reject(404, "no such path"),
    }
}

/// Parses a job id. A malformed id was never accepted, so there is no such job and the rejection is a 404.
fn parse_job_id(text: &str) -> Result<JobId, Rejection> {
    text.parse().or_else(|e: BadId| reject(404, e.to_string()))
}

fn require_method(method: &str, allowed: &str) -> Result<(), Rejection> {
    if method == allowed {
        Ok(())
    } else {
        reject(405, format!("only {allowed} is allowed here"))
    }
}

fn require_body(body: Option<&[u8]>) -> Result<&[u8], Rejection> {
    match body {
        Some(body) => Ok(body),
        None => reject(400, "the body is larger than 64 KiB"),
    }
}

fn parse_submission(body: &[u8]) -> Result<JobSpec, Rejection> {
    // serde also reads a struct from a JSON array, which no submission is.
    if body.iter().find(|b| !b.is_ascii_whitespace()) != Some(&b'{') {
        return reject(400, "a JSON object is expected");
    }
    let spec: JobSpec = match serde_json::from_slice(body) {
        Ok(spec) => spec,
        Err(e) => return reject(400, e.to_string()),
    };
    match spec.invalid_field() {
        Some(field) => reject(400, format!("field {field} has an invalid value")),
        None => Ok(spec),
    }
}

#[cfg(test)]
mod tests;
