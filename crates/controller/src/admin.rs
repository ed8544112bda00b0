//! `rudderreel admin`: command line client of the administration API.

use crate::clients::admin::{self as client, AdminResponse};
use clap::{Args, Subcommand};
use serde_json::Value;
use std::net::SocketAddrV4;
use std::path::PathBuf;

/// Options of `rudderreel admin`.
#[derive(Args)]
pub struct AdminArgs {
    /// Address of any node's listener for peers and administrators.
    #[arg(long, value_name = "IP:PORT")]
    node: SocketAddrV4,
    /// Print the response as unformatted JSON.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    query: Query,
}

#[derive(Subcommand)]
enum Query {
    /// Show the state of the deployment.
    Overview,
    /// Show each team's usage against its quota, limit and share.
    Teams,
    /// List machines and their prices, one page at a time.
    Machines {
        /// List only machines after this one.
        #[arg(long, value_name = "MACHINE")]
        after: Option<String>,
    },
    /// List tasks that were stopped recently, and why.
    Stops,
    /// Show what the node has refused since it started.
    Refusals,
    /// Show the node's memory and processor usage and its limits.
    Process,
    /// Show a job's state and the reason for it.
    Job {
        /// Job id.
        id: String,
    },
    /// Show the operators' settings with their version, or replace them.
    Settings {
        #[command(subcommand)]
        change: Option<SettingsChange>,
    },
}

#[derive(Subcommand)]
enum SettingsChange {
    /// Replace the settings with a JSON file in the form that is shown, version included.
    Set {
        /// JSON file with the new settings.
        file: PathBuf,
    },
}

/// An error of a request to the administration API.
#[derive(Debug, thiserror::Error)]
pub enum AdminError {
    /// The file with the new settings could not be read.
    #[error("{}: {source}", path.display())]
    ReadFile {
        /// Path of the file.
        path: PathBuf,
        /// Error of the read.
        source: std::io::Error,
    },
    /// The node refused the request.
    #[error("{node} answers {status}: {text}")]
    Refused {
        /// Address of the node.
        node: SocketAddrV4,
        /// HTTP status of the response.
        status: u16,
        /// Error text of the response.
        text: String,
    },
    /// The node gave no response.
    #[error("{node} does not answer")]
    NoResponse {
        /// Address of the node.
        node: SocketAddrV4,
    },
}

/// Sends one request and prints the response.
pub fn run(args: &AdminArgs) -> Result<(), AdminError> {
    let node = args.node;
    let response = send(node, &args.query)?.ok_or(AdminError::NoResponse { node })?;
    if response.status != 200 {
        return Err(AdminError::Refused {
            node,
            status: response.status,
            text: error_text(response.body),
        });
    }
    if args.json {
        println!("{}", response.body);
    } else {
        print!("{}", format_body(&response.body));
    }
    Ok(())
}

fn send(node: SocketAddrV4, query: &Query) -> Result<Option<AdminResponse>, AdminError> {
    let read = |path: &str| Ok(client::read(&format!("http://{node}{path}")));
    match query {
        Query::Overview => read("/admin/overview"),
        Query::Teams => read("/admin/teams"),
        Query::Machines { after: None } => read("/admin/machines"),
        Query::Machines { after: Some(name) } => read(&format!("/admin/machines?after={name}")),
        Query::Stops => read("/admin/stops"),
        Query::Refusals => read("/admin/refusals"),
        Query::Process => read("/admin/process"),
        Query::Job { id } => read(&format!("/admin/jobs/{id}")),
        Query::Settings { change: None } => read("/admin/settings"),
        Query::Settings {
            change: Some(SettingsChange::Set { file }),
        } => {
            let settings = std::fs::read(file).map_err(|source| AdminError::ReadFile {
                path: file.clone(),
                source,
            })?;
            let url = format!("http://{node}/admin/settings");
            Ok(client::replace(&url, &settings))
        }
    }
}

/// Returns the error text of a response, or the whole body if it has none.
fn error_text(body: String) -> String {
    let value: Value = serde_json::from_str(&body).unwrap_or(Value::Null);
    value["error"].as_str().map_or(body, str::to_string)
}

/// Formats a response for reading: each list of objects as a table, each other field as a line. A body that is not
/// JSON is returned as it is.
fn format_body(body: &str) -> String {
    match serde_json::from_str::<Value>(body) {
        Ok(value) => {
            let mut out = String::new();
            write_lines(&mut out, "", &value);
            out
        }
        Err(_) => format!("{body}\n"),
    }
}

fn write_lines(out: &mut String, name: &str, value: &Value) {
    match value {
        Value::Object(fields) => {
            for (key, field) in fields {
                let dot = if name.is_empty() { "" } else { "." };
                write_lines(out, &format!("{name}{dot}{key}"), field);
            }
        }
        Value::Array(rows) if rows.iter().all(Value::is_object) => write_table(out, name, rows),
        other => out.push_str(&format!("{name}: {}\n", format_cell(other))),
    }
}

fn format_cell(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        Value::Number(n) if n.is_f64() => format!("{:.2}", n.as_f64().unwrap_or(0.0)),
        Value::Object(fields) => {
            let parts = fields
                .iter()
                .map(|(k, v)| format!("{k} {}", format_cell(v)));
            parts.collect::<Vec<_>>().join(", ")
        }
        other => other.to_string(),
    }
}

fn write_table(out: &mut String, name: &str, rows: &[Value]) {
    let Some(first) = rows.first().and_then(Value::as_object) else {
        return out.push_str(&format!("{name}: none\n"));
    };
    let columns: Vec<String> = first.keys().cloned().collect();
    let mut grid = vec![columns.clone()];
    grid.extend(
        rows.iter()
            .map(|r| columns.iter().map(|h| format_cell(&r[h])).collect()),
    );
    let width = |c: usize| {
        grid.iter()
            .map(|r: &Vec<String>| r[c].len())
            .max()
            .unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    for row in &grid {
        let cells = row
            .iter()
            .zip(&widths)
            .map(|(text, &w)| format!("{text:<w$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        out.push_str(line.trim_end());
        out.push('\n');
    }
}

#[cfg(test)]
mod tests;
