//! Measures the processor time of the core's steps and the size of its messages.

use super::*;
use std::time::{Duration, Instant};

/// Processor time of the steps of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct StepCost {
    pub count: u32,
    pub total: Duration,
    pub longest: Duration,
}

impl StepCost {
    fn add(&mut self, took: Duration) {
        self.count += 1;
        self.total += took;
        self.longest = self.longest.max(took);
    }
}

/// Number and size of the messages of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct MessageCost {
    pub count: u32,
    pub bytes: usize,
    pub largest: usize,
}

impl MessageCost {
    fn add(&mut self, bytes: usize) {
        self.count += 1;
        self.bytes += bytes;
        self.largest = self.largest.max(bytes);
    }
}

/// Costs measured since the test last reset them.
#[derive(Debug, Default)]
pub struct Costs {
    /// Steps by whether the node leads and by the kind of input.
    pub steps: BTreeMap<(bool, &'static str), StepCost>,
    /// Messages to peers, and calls to the store, the cloud and agents, by kind.
    pub messages: BTreeMap<&'static str, MessageCost>,
}

impl World {
    /// Runs a step of the core, and measures its costs if the scenario says so.
    pub(super) fn measured_step(&mut self, node: usize, input: Input, now: Now) -> Vec<Output> {
        if !self.scenario.measures {
            return self.step_core(node, input, now);
        }
        let kind = (self.leader_by_store() == Some(node), kind_of(&input));
        let begun = Instant::now();
        let outputs = self.step_core(node, input, now);
        let took = begun.elapsed();
        self.costs.steps.entry(kind).or_default().add(took);
        for output in &outputs {
            if let Some((kind, bytes)) = kind_and_size(output) {
                self.costs.messages.entry(kind).or_default().add(bytes);
            }
        }
        outputs
    }
}

fn kind_of(input: &Input) -> &'static str {
    match input {
        Input::Tick => "tick",
        Input::User(..) | Input::ForwardedRequest { .. } => "user",
        Input::StatusReport(..) => "report",
        Input::Health(..) | Input::Admin { .. } => "admin",
        Input::Heartbeat(..) | Input::HeartbeatReply(..) => "heartbeat",
        Input::ForwardedReports(..) => "batch of reports",
        Input::ForwardedReportsReply(..) => "reply to a batch",
        Input::ReplicateCancellations(..) | Input::ReplicateCancellationsReply(..) => {
            "cancellations"
        }
        Input::ForwardReply(..) => "reply to a user",
        Input::Store { .. } => "store",
        Input::Watched { .. } | Input::WatchLost => "watch",
        Input::Cloud(..) => "cloud",
        Input::Direct { .. } => "direct call",
    }
}

/// Returns the kind and the size in bytes of an output that is sent to a peer, the store, the cloud or an agent.
fn kind_and_size(output: &Output) -> Option<(&'static str, usize)> {
    Some(match output {
        Output::Heartbeat(heartbeat) => ("heartbeat", bitcode::encode(heartbeat).len()),
        Output::AnswerHeartbeat(_, reply) => ("heartbeat reply", bitcode::encode(reply).len()),
        Output::ForwardReports { reports, .. } => {
            ("batch of reports", bitcode::encode(reports).len())
        }
        Output::AnswerForwardedReports(_, reply) => {
            ("reply to a batch", bitcode::encode(reply).len())
        }
        Output::ReplicateCancellations(_, cancellations) => {
            ("cancellations", bitcode::encode(cancellations).len())
        }
        Output::Store(_, rudderreel_core::StoreCall::Commit(transaction)) => {
            let bytes = serde_json::to_vec(transaction).expect("JSON").len();
            ("commit", bytes)
        }
        Output::Store(..) => ("other store call", 0),
        Output::Cloud(..) => ("cloud call", 0),
        Output::Direct { body, .. } => {
            let bytes = serde_json::to_vec(body).expect("JSON").len();
            ("direct call", bytes)
        }
        _ => return None,
    })
}
