//! Nodes of the version in production, which knows no dependencies between jobs.
//!
//! Its code can't be linked here. What tells it apart is what it can read, keep and do, so it is played
//! by the present core behind a filter: dependencies are dropped from submissions and records, keys and
//! fields that it does not know are hidden from it, and records that it can't read are unreadable.

use super::*;
use rudderreel_core::{CloudCall, StoreCall};
use rudderreel_wire::state::{Change, Event as WatchEvent, Events, Item};

/// Which version of the program a node runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeVersion {
    /// The version in production, before dependencies.
    Production,
    /// The version under test.
    Current,
}

/// States of a job that production's records have.
const PRODUCTION_STATES: [&str; 4] = ["pending", "running", "done", "aborted"];
/// Fields that production knows in a leader's record.
const PRODUCTION_LEADER: [&str; 3] = ["node", "epoch", "lease"];
/// Fields of a job's record that came after production.
const LATER_JOB_FIELDS: [&str; 3] = ["cancelled_by", "finished", "names_dependencies"];
/// Keys that production takes in, by their prefixes; it ignores all others that it watches.
const PRODUCTION_KEYS: [&str; 7] = [
    "pub/job/",
    "pub/leader",
    "pub/admin",
    "pub/catalog",
    "pub/known/",
    "epoch",
    "book/",
];

/// An input as production takes it.
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
        Input::State {
            call: id,
            sent_at: sent,
            answer: StoreAnswer::Found(item),
        } => Input::State {
            call: id,
            sent_at: sent,
            answer: StoreAnswer::Found(read_item(item)),
        },
        Input::State {
            call: id,
            sent_at: sent,
            answer: StoreAnswer::Page(mut page),
        } => {
            page.items = (page.items.into_iter())
                .filter(|item| is_known(&item.key))
                .map(read_item)
                .collect();
            Input::State {
                call: id,
                sent_at: sent,
                answer: StoreAnswer::Page(page),
            }
        }
        Input::State {
            call,
            sent_at,
            answer: StoreAnswer::Changes(changes),
        } => Input::State {
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

/// An output as production sends it.
fn sent_by_production(output: Output) -> Output {
    match output {
        Output::State(id, call) => Output::State(id, written_by_production(call)),
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

/// A call to the store as production makes it.
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
    PRODUCTION_KEYS.iter().any(|known| key.starts_with(known))
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
        // Of deletions it takes in only that of the leader's key.
        WatchEvent::Delete { ref key, .. } if key == "pub/leader" => Some(event),
        _ => None,
    }
}

/// A value as production reads it; null if it can't.
fn read_value(key: &str, mut value: Value) -> Value {
    let state = value["state"].as_str().unwrap_or_default();
    if key.starts_with("pub/job/") && !PRODUCTION_STATES.contains(&state) {
        return Value::Null;
    }
    keep_production_fields(key, &mut value);
    value
}

/// Drops what production does not know of a record, and so neither keeps nor writes.
fn keep_production_fields(key: &str, value: &mut Value) {
    let Some(fields) = value.as_object_mut() else {
        return;
    };
    if key == "pub/leader" {
        fields.retain(|name, _| PRODUCTION_LEADER.contains(&name.as_str()));
    }
    if key.starts_with("pub/job/") {
        fields.retain(|name, _| !LATER_JOB_FIELDS.contains(&name.as_str()));
        if let Some(spec) = fields.get_mut("spec").and_then(Value::as_object_mut) {
            spec.remove("awaits");
        }
    }
}

impl World {
    /// Ends a node; it comes back after a while with a version of the program.
    pub fn restart_as(&mut self, node: usize, version: NodeVersion, back: u64) {
        self.nodes[node].version = version;
        self.end(node, back);
    }

    /// Upgrades nodes of the version in production one after the other.
    pub(super) fn plan_upgrade(&mut self, from: u64, every: u64) {
        for node in 0..self.scenario.nodes {
            self.nodes[node].version = NodeVersion::Production;
            self.after(from + every * node as u64, Event::Upgrade(node));
        }
    }

    /// Whether every node runs the version under test: only then do users name dependencies.
    pub(super) fn is_upgraded(&self) -> bool {
        let current = |node: &SimulatedNode| node.version == NodeVersion::Current;
        self.upgraded || self.nodes.iter().all(current)
    }

    /// Hands an input to a node's core, as its version takes it.
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

    /// Only a leader of the version in production asks the cloud for the machine types.
    pub(super) fn asks_cloud(&self, node: usize, call: &CloudCall) -> bool {
        let catalog = matches!(call, CloudCall::Catalog);
        let production = self.nodes[node].version == NodeVersion::Production;
        !(catalog && production) || self.leader_by_store() == Some(node)
    }
}
