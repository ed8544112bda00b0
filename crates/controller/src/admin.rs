//! `rudderreel admin`: the administration API from the command line.

use crate::clients::admin::{self as client, AdminResponse};
use clap::{Args, Subcommand};
use serde_json::Value;
use std::net::SocketAddrV4;
use std::path::PathBuf;

/// Options of `rudderreel admin`.
#[derive(Args)]
pub struct AdminArgs {
    /// Any node's address for peers and administrators.
    #[arg(long, value_name = "IP:PORT")]
    node: SocketAddrV4,
    /// Print JSON as it came.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    query: Query,
}

#[derive(Subcommand)]
enum Query {
    /// How the deployment is doing.
    Overview,
    /// Who uses what, against quota, limit and share.
    Teams,
    /// Machines, and what they cost: a page of them.
    Machines {
        /// Only those after this one.
        #[arg(long, value_name = "MACHINE")]
        after: Option<String>,
    },
    /// Tasks that were stopped lately, and why.
    Stops,
    /// What the node refused since it started.
    Refusals,
    /// Memory and processor time that the node uses, beside what it may.
    Process,
    /// Why a job is where it is.
    Job {
        /// The job's id.
        id: String,
    },
    /// Operators' settings, with their version.
    Settings {
        #[command(subcommand)]
        change: Option<SettingsChange>,
    },
}

#[derive(Subcommand)]
enum SettingsChange {
    /// Replace them by a JSON file in the form in which they are shown, version included.
    Set {
        /// The file.
        file: PathBuf,
    },
}

/// Why a request to the administration API failed.
#[derive(Debug, thiserror::Error)]
pub enum AdminError {
    /// The file with the new settings could not be read.
    #[error("{}: {source}", path.display())]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// What went wrong.
        source: std::io::Error,
    },
    /// The node refused the request.
    #[error("{node} answers {status}: {text}")]
    Refused {
        /// The node.
        node: SocketAddrV4,
        /// HTTP status.
        status: u16,
        /// What it says.
        text: String,
    },
    /// The node gave no response.
    #[error("{node} does not answer")]
    NoResponse {
        /// The node.
        node: SocketAddrV4,
    },
}

/// Runs one request and prints the response.
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
        print!("{}", readable(&response.body));
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

/// What an error response says.
fn error_text(body: String) -> String {
    let value: Value = serde_json::from_str(&body).unwrap_or(Value::Null);
    value["error"].as_str().map_or(body, str::to_string)
}

/// Lists of objects become tables, everything else a line a field.
fn readable(body: &str) -> String {
    match serde_json::from_str::<Value>(body) {
        Ok(value) => {
            let mut out = String::new();
            lines(&mut out, "", &value);
            out
        }
        Err(_) => format!("{body}\n"),
    }
}

fn lines(out: &mut String, name: &str, value: &Value) {
    match value {
        Value::Object(fields) => {
            for (key, field) in fields {
                let dot = if name.is_empty() { "" } else { "." };
                lines(out, &format!("{name}{dot}{key}"), field);
            }
        }
        Value::Array(rows) if rows.iter().all(Value::is_object) => table(out, name, rows),
        other => out.push_str(&format!("{name}: {}\n", cell(other))),
    }
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        Value::Number(n) if n.is_f64() => format!("{:.2}", n.as_f64().unwrap_or(0.0)),
        Value::Object(fields) => {
            let parts = fields.iter().map(|(k, v)| format!("{k} {}", cell(v)));
            parts.collect::<Vec<_>>().join(", ")
        }
        other => other.to_string(),
    }
}

fn table(out: &mut String, name: &str, rows: &[Value]) {
    let Some(first) = rows.first().and_then(Value::as_object) else {
        return out.push_str(&format!("{name}: none\n"));
    };
    let head: Vec<String> = first.keys().cloned().collect();
    let mut grid = vec![head.clone()];
    grid.extend(
        rows.iter()
            .map(|r| head.iter().map(|h| cell(&r[h])).collect()),
    );
    let width = |c: usize| {
        grid.iter()
            .map(|r: &Vec<String>| r[c].len())
            .max()
            .unwrap_or(0)
    };
    let widths: Vec<usize> = (0..head.len()).map(width).collect();
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
