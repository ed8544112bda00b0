//! `rudderreel admin`: the administration API from the command line.

use crate::clients::{self, AdminReply};
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
    what: What,
}

#[derive(Subcommand)]
enum What {
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
        change: Option<Change>,
    },
}

#[derive(Subcommand)]
enum Change {
    /// Replace them by a JSON file in the form in which they are shown, version included.
    Set {
        /// The file.
        file: PathBuf,
    },
}

/// Runs one request and prints the answer.
pub fn run(args: &AdminArgs) -> Result<(), String> {
    let base = format!("http://{}", args.node);
    let get = |path: &str| clients::admin_get(&format!("{base}{path}"));
    let reply = match &args.what {
        What::Overview => get("/admin/overview"),
        What::Teams => get("/admin/teams"),
        What::Machines { after: None } => get("/admin/machines"),
        What::Machines { after: Some(name) } => get(&format!("/admin/machines?after={name}")),
        What::Stops => get("/admin/stops"),
        What::Refusals => get("/admin/refusals"),
        What::Process => get("/admin/process"),
        What::Job { id } => get(&format!("/admin/jobs/{id}")),
        What::Settings { change: None } => get("/admin/settings"),
        What::Settings {
            change: Some(Change::Set { file }),
        } => {
            let text = std::fs::read(file).map_err(|e| format!("{}: {e}", file.display()))?;
            clients::admin_put(&format!("{base}/admin/settings"), &text)
        }
    };
    match reply {
        AdminReply::Answer(200, body) if args.json => println!("{body}"),
        AdminReply::Answer(200, body) => print!("{}", readable(&body)),
        AdminReply::Answer(status, body) => {
            let value: Value = serde_json::from_str(&body).unwrap_or(Value::Null);
            let text = value["error"].as_str().map_or(body, str::to_string);
            return Err(format!("{} answers {status}: {text}", args.node));
        }
        AdminReply::None => return Err(format!("{} does not answer", args.node)),
    }
    Ok(())
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
