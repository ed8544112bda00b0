//! Responses of the HTTP server, and their bytes.

/// Status of a refusal that the client should repeat later.
const SERVICE_UNAVAILABLE: u16 = 503;
/// Status that sends an agent to another node.
const MISDIRECTED_REQUEST: u16 = 421;
/// Seconds after which a refused client should come back.
const RETRY_AFTER_S: u32 = 1;
/// Room for the head of a response.
const HEAD_BYTES: usize = 128;

/// A response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
    /// Seconds after which the client should come back.
    pub retry_after: Option<u32>,
    /// Whether the connection ends with it.
    pub close: bool,
}

impl Response {
    /// JSON with a status.
    pub fn json(status: u16, body: Vec<u8>) -> Self {
        Self {
            status,
            body,
            ..Self::default()
        }
    }

    /// An error with a text; with a 503 the client is told when to come back.
    pub fn error(status: u16, text: &str) -> Self {
        let body = serde_json::json!({ "error": text }).to_string();
        Self {
            retry_after: (status == SERVICE_UNAVAILABLE).then_some(RETRY_AFTER_S),
            ..Self::json(status, body.into_bytes())
        }
    }

    /// Sends an agent to some other node, whichever it tries next.
    pub(super) fn redirect_agent() -> Self {
        Self {
            close: true,
            ..Self::json(MISDIRECTED_REQUEST, b"{}".to_vec())
        }
    }

    /// Head and body, as they are written.
    pub(super) fn bytes(&self, close: bool) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEAD_BYTES + self.body.len());
        let retry = (self.retry_after)
            .map(|s| format!("Retry-After: {s}\r\n"))
            .unwrap_or_default();
        let connection = if close { "Connection: close\r\n" } else { "" };
        let head = format!(
            "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{retry}{connection}\r\n",
            self.status,
            reason_phrase(self.status),
            self.body.len(),
        );
        bytes.extend_from_slice(head.as_bytes());
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// The reason phrase of a status.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Other",
    }
}
