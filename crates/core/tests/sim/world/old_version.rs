//! Nodes of the version in production, which doesn't support dependencies between jobs.
//!
//! The code of that version can't be linked here. The version is simulated by the present core behind a filter of what
//! that version can read, keep and do: dependencies are dropped from submissions and records, keys and fields that the
//! version doesn't know are hidden from it, and records that it can't read are replaced by null.

use super::*;
use rudderreel_core::{CloudCall, StoreCall};
use rudderreel_wire::state::{Change, Event as WatchEvent, Events, Item};

/// Which version of the program a node runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeVersion {
    /// The version in production, without dependencies between jobs.
    Production,
    /// The version under test.
    Current,
}

/// States of a job that the version in production can read.
const PRODUCTION_STATES: [&str; 4] = ["pending", "running", "done", "aborted"];
/// Fields of a leader's record that the version in production knows.
const PRODUCTION_LEADER_FIELDS: [&str; 3] = ["node", "epoch", "lease"];
/// Fields of a job's record that the version in production doesn't know.
const LATER_JOB_FIELDS: [&str; 3] = ["cancelled_by", "finished", "names_dependencies"];
/// Prefixes of the keys that the version in production reads; it ignores all other keys that it watches.
const PRODUCTION_KEY_PREFIXES: [&str; 7] = [
    "pub/job/",
    "pub/leader",
    "pub/admin",
    "pub/catalog",
    "pub/known/",
    "epoch",
    "book/",
];

/// Returns an input as the version in production reads it.
fn read_by_production(input: Input) -> Input {
    match input {
        Input::User(req, request) => Input::User(req, without_dependencies(request)),
        Input::ForwardedRequest {
            req,
            request,
            sender,
        } => Input::ForwardedRequest {
            req,
            request: without_dependencies(request),
            sender,
        },
        Input::Store {
            call: id,
            sent_at: sent,
            answer: StoreAnswer::Found(item),
        } => Input::Store {
            call: id,
            sent_at: sent,
            answer: StoreAnswer::Found(read_item(item)),
        },
        Input::Store {
            call: id,
            sent_at: sent,
            answer: StoreAnswer::Page(mut page),
        } => {
            page.items = (page.items.into_iter())
                .filter(|item| is_known(&item.key))
                .map(read_item)
                .collect();
            Input::Store {
                call: id,
                sent_at: sent,
                answer: StoreAnswer::Page(page),
            }
        }
        Input::Store {
            call,
            sent_at,
            answer: StoreAnswer::Changes(changes),
        } => Input::Store {
            call,
            sent_at,
            answer: StoreAnswer::Changes(Events {
                events: changes.events.into_iter().filter_map(read_event).collect(),
                ..changes
            }),
        },
        Input::Watched {
            sent_at,
            revision,
            events,
        } => Input::Watched {
            sent_at,
            revision,
            events: events.into_iter().filter_map(read_event).collect(),
        },
        other => other,
    }
}

/// Returns an output as the version in production sends it.
fn sent_by_production(output: Output) -> Output {
    match output {
        Output::Store(id, call) => Output::Store(id, written_by_production(call)),
        Output::Forward {
            peer,
            req,
            request: Forward::Submit(text),
        } => {
            let mut value: Value = serde_json::from_str(&text).expect("JSON");
            let fields = value.as_object_mut().expect("an object");
            fields.remove("awaits");
            Output::Forward {
                peer,
                req,
                request: Forward::Submit(value.to_string()),
            }
        }
        other => other,
    }
}

/// Returns a call to the store as the version in production makes it.
fn written_by_production(call: StoreCall) -> StoreCall {
    let StoreCall::Commit(mut transaction) = call else {
        return call;
    };
    for change in &mut transaction.changes {
        if let Change::Put { key, value, .. } = change {
            keep_production_fields(key, value);
        }
    }
    StoreCall::Commit(transaction)
}

fn without_dependencies(request: UserRequest) -> UserRequest {
    match request {
        UserRequest::Submit(mut spec) => {
            spec.dependencies.clear();
            UserRequest::Submit(spec)
        }
        other => other,
    }
}

fn is_known(key: &str) -> bool {
    PRODUCTION_KEY_PREFIXES
        .iter()
        .any(|known| key.starts_with(known))
}

fn read_item(mut item: Item<Value>) -> Item<Value> {
    item.value = read_value(&item.key, item.value);
    item
}

fn read_event(event: WatchEvent<Value>) -> Option<WatchEvent<Value>> {
    match event {
        WatchEvent::Put {
            key,
            value,
            version,
        } if is_known(&key) => {
            let value = read_value(&key, value);
            Some(WatchEvent::Put {
                key,
                value,
                version,
            })
        }
        // The only deletion that the version in production reads is that of the leader key.
        WatchEvent::Delete { ref key, .. } if key == "pub/leader" => Some(event),
        _ => None,
    }
}

/// Returns a value as the version in production reads it; null if it can't.
fn read_value(key: &str, mut value: Value) -> Value {
    let state = value["state"].as_str().unwrap_or_default();
    if key.starts_with("pub/job/") && !PRODUCTION_STATES.contains(&state) {
        return Value::Null;
    }
    keep_production_fields(key, &mut value);
    value
}

/// Drops the fields of a record that the version in production doesn't know, and so neither keeps nor writes.
fn keep_production_fields(key: &str, value: &mut Value) {
    let Some(fields) = value.as_object_mut() else {
        return;
    };
    if key == "pub/leader" {
        fields.retain(|name, _| PRODUCTION_LEADER_FIELDS.contains(&name.as_str()));
    }
    if key.starts_with("pub/job/") {
        fields.retain(|name, _| !LATER_JOB_FIELDS.contains(&name.as_str()));
        if let Some(spec) = fields.get_mut("spec").and_then(Value::as_object_mut) {
            spec.remove("awaits");
        }
    }
}

impl World {
    /// Stops a node's process and restarts it after `down_ms` with a version of the program.
    pub fn restart_as(&mut self, node: usize, version: NodeVersion, down_ms: u64) {
        self.nodes[node].version = version;
        self.stop_process(node, down_ms);
    }

    /// Sets all nodes to the version in production and schedules their upgrades one after the other.
    pub(super) fn plan_upgrade(&mut self, from: u64, every: u64) {
        for node in 0..self.scenario.nodes {
            self.nodes[node].version = NodeVersion::Production;
            self.schedule(from + every * node as u64, Event::Upgrade(node));
        }
    }

    /// Returns whether every node runs, or all nodes have run, the version under test. Users name dependencies only
    /// from then on.
    pub(super) fn is_upgraded(&self) -> bool {
        let current = |node: &SimulatedNode| node.version == NodeVersion::Current;
        self.upgraded || self.nodes.iter().all(current)
    }

    /// Runs a step of a node's core with an input and outputs as its version reads and sends them.
    pub(super) fn step_core(&mut self, node: usize, input: Input, now: Now) -> Vec<Output> {
        let version = self.nodes[node].version;
        let Some(core) = self.nodes[node].process.as_mut() else {
            return Vec::new();
        };
        if version == NodeVersion::Current {
            return core.step(input, now);
        }
        (core.step(read_by_production(input), now).into_iter())
            .map(sent_by_production)
            .collect()
    }

    /// Returns whether a node's call to the cloud is sent: a node of the version in production requests the machine
    /// types only while it leads.
    pub(super) fn may_call_cloud(&self, node: usize, call: &CloudCall) -> bool {
        let catalog = matches!(call, CloudCall::Catalog);
        let production = self.nodes[node].version == NodeVersion::Production;
        !(catalog && production) || self.leader_by_store() == Some(node)
    }
}
