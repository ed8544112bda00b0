//! From an HTTP request to an input of the core, or to the answer that it gets at once.

use rudderreel_core::UserRequest;
use rudderreel_wire::ids::JobId;
use rudderreel_wire::job::JobSpec;
use rudderreel_wire::worker::StatusReport;

/// The largest request body.
pub const MAX_BODY: usize = 64 * 1024;

/// What came in at the front.
#[derive(Debug)]
pub enum Incoming {
    /// A user's request.
    User(UserRequest),
    /// A worker's report.
    StatusReport(Box<StatusReport>),
    /// A health check.
    Health,
}

/// An answer that needs no deciding.
#[derive(Debug, PartialEq)]
pub struct Rejected {
    /// HTTP status.
    pub status: u16,
    /// What is wrong.
    pub text: String,
}

fn rejected<T>(status: u16, text: impl Into<String>) -> Result<T, Rejected> {
    Err(Rejected {
        status,
        text: text.into(),
    })
}

/// Reads a request at the front. `body` is none if it was too long.
pub fn front(method: &str, url: &str, body: Option<&[u8]>) -> Result<Incoming, Rejected> {
    let path = url.split('?').next().unwrap_or("");
    let parts: Vec<&str> = path.split('/').skip(1).collect();
    match parts.as_slice() {
        ["up"] => only(method, "GET").map(|()| Incoming::Health),
        ["v1", "jobs"] => {
            only(method, "POST")?;
            let spec = job(within(body)?)?;
            Ok(Incoming::User(UserRequest::Submit(Box::new(spec))))
        }
        ["v1", "jobs", id] => {
            only(method, "GET")?;
            // An id of another form was never accepted.
            match id.parse::<JobId>() {
                Ok(id) => Ok(Incoming::User(UserRequest::Status(id))),
                Err(e) => rejected(404, e.to_string()),
            }
        }
        ["v1", "jobs", id, "withdraw"] => {
            only(method, "POST")?;
            match id.parse::<JobId>() {
                Ok(id) => Ok(Incoming::User(UserRequest::Cancel(id))),
                Err(e) => rejected(404, e.to_string()),
            }
        }
        ["v1", "report"] => {
            only(method, "POST")?;
            match serde_json::from_slice(within(body)?) {
                Ok(report) => Ok(Incoming::StatusReport(Box::new(report))),
                Err(e) => rejected(400, e.to_string()),
            }
        }
        _ => rejected(404, "no such path"),
    }
}

fn only(method: &str, allowed: &str) -> Result<(), Rejected> {
    if method == allowed {
        Ok(())
    } else {
        rejected(405, format!("only {allowed} is allowed here"))
    }
}

fn within(body: Option<&[u8]>) -> Result<&[u8], Rejected> {
    match body {
        Some(body) => Ok(body),
        None => rejected(400, "the body is larger than 64 KiB"),
    }
}

fn job(body: &[u8]) -> Result<JobSpec, Rejected> {
    // A struct may also be read from a JSON array, which no submission is.
    if body.iter().find(|b| !b.is_ascii_whitespace()) != Some(&b'{') {
        return rejected(400, "a JSON object is expected");
    }
    let spec: JobSpec = match serde_json::from_slice(body) {
        Ok(spec) => spec,
        Err(e) => return rejected(400, e.to_string()),
    };
    match spec.invalid_field() {
        Some(field) => rejected(400, format!("field {field} has an invalid value")),
        None => Ok(spec),
    }
}

#[cfg(test)]
mod tests;
