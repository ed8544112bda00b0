//! Responses of the HTTP server and their serialization.

/// Status of a refused request that the client should retry later.
const SERVICE_UNAVAILABLE: u16 = 503;
/// Status that makes an agent report to another node.
const MISDIRECTED_REQUEST: u16 = 421;
/// Seconds after which a client should retry a refused request.
const RETRY_AFTER_S: u32 = 1;
/// Bytes reserved for the head of a response.
const HEAD_CAPACITY: usize = 128;

/// An HTTP response. Its content type is always `application/json`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Response body.
    pub body: Vec<u8>,
    /// Value of the `Retry-After` header, in seconds.
    pub retry_after: Option<u32>,
    /// Whether the connection is closed after the response.
    pub close: bool,
}

impl Response {
    /// Creates a response with a status and a body.
    pub fn json(status: u16, body: Vec<u8>) -> Self {
        Self {
            status,
            body,
            ..Self::default()
        }
    }

    /// Creates an error response with a message. A 503 also gets a `Retry-After` header.
    pub fn error(status: u16, text: &str) -> Self {
        let body = serde_json::json!({ "error": text }).to_string();
        Self {
            retry_after: (status == SERVICE_UNAVAILABLE).then_some(RETRY_AFTER_S),
            ..Self::json(status, body.into_bytes())
        }
    }

    /// Creates the response that makes an agent report to another node. The agent chooses the node.
    pub(super) fn redirect_agent() -> Self {
        Self {
            close: true,
            ..Self::json(MISDIRECTED_REQUEST, b"{}".to_vec())
        }
    }

    /// Serializes head and body. `close` adds a `Connection: close` header.
    pub(super) fn bytes(&self, close: bool) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEAD_CAPACITY + self.body.len());
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

/// Returns the reason phrase of a status.
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
