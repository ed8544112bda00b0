//! Answers of the HTTP server.

/// What is sent back.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
    /// When to come back, in seconds.
    pub retry_after: Option<u32>,
    /// Whether the connection ends with it.
    pub close: bool,
}

impl Answer {
    /// JSON with a status.
    pub fn json(status: u16, body: Vec<u8>) -> Self {
        Self {
            status,
            body,
            ..Self::default()
        }
    }

    /// A refusal with a text; after a 503 the client is told when to come back.
    pub fn error(status: u16, text: &str) -> Self {
        let body = serde_json::json!({ "error": text }).to_string();
        Self {
            retry_after: (status == 503).then_some(1),
            ..Self::json(status, body.into_bytes())
        }
    }

    /// Sends a worker on to some other node.
    pub(super) fn elsewhere() -> Self {
        Self {
            close: true,
            ..Self::json(421, b"{}".to_vec())
        }
    }

    /// Head and body, as they are written.
    pub(super) fn bytes(&self, close: bool) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(128 + self.body.len());
        let retry = (self.retry_after)
            .map(|s| format!("Retry-After: {s}\r\n"))
            .unwrap_or_default();
        let connection = if close { "Connection: close\r\n" } else { "" };
        let head = format!(
            "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{retry}{connection}\r\n",
            self.status,
            reason(self.status),
            self.body.len(),
        );
        bytes.extend_from_slice(head.as_bytes());
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

fn reason(status: u16) -> &'static str {
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
