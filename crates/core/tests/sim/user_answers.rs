//! Answers to users show the newest state that the node knows when it answers, whatever it has read before.

use super::cancellations_in_outages::replicas;
use super::world::{Scenario, World};
use rudderreel_core::{CallId, Input, Node, Output, ReqId, StoreAnswer, StoreCall, UserRequest};
use rudderreel_wire::ids::{JobId, Version};
use rudderreel_wire::peer::{CancelledJob, ReplicateCancellations, ReplicateCancellationsReply};
use rudderreel_wire::state::{Event, Item, Page};
use serde_json::{json, Value};

/// Duration of a leader's lease.
const LEADER_LEASE_MS: u64 = 3_000;

/// A single node whose calls the test answers.
struct SingleNode {
    node: Node,
    world: World,
    outputs: Vec<Output>,
}

impl SingleNode {
    /// Returns one of `nodes` nodes, which has read an empty store.
    fn new(nodes: usize) -> Self {
        let scenario = Scenario {
            nodes,
            scripted: true,
            ..Scenario::default()
        };
        let world = World::with_scenario(570, scenario);
        let node = Node::new(world.settings_of(0));
        let mut node = Self {
            node,
            world,
            outputs: Vec::new(),
        };
        node.wait(1_000);
        while let Some((id, call)) = node.take_call(|_| true) {
            let answer = match call {
                StoreCall::List(..) => StoreAnswer::Page(Page {
                    items: vec![leader_key()],
                    more: false,
                    revision: Version(10),
                }),
                StoreCall::Get(key) if key == "pub/leader" => StoreAnswer::Found(leader_key()),
                _ => StoreAnswer::Refused,
            };
            node.answer(id, answer);
        }
        // No earlier leader may still start tasks.
        node.wait(LEADER_LEASE_MS + 100);
        node.outputs.clear();
        node
    }

    fn step(&mut self, input: Input) {
        self.world.now += 1;
        let now = self.world.clock_of(0);
        self.outputs.extend(self.node.step(input, now));
    }

    /// Delivers a change through the watch.
    fn watch_shows(&mut self, revision: u64, event: Event<Value>) {
        self.step(Input::Watched {
            sent_at: self.world.clock_of(0).time,
            revision: Version(revision),
            events: vec![event],
        });
    }

    fn wait(&mut self, ms: u64) {
        for _ in 0..ms / 20 {
            self.world.now += 19;
            self.step(Input::Tick);
        }
    }

    /// Takes the first pending call to the store that `wanted` selects.
    fn take_call(&mut self, wanted: impl Fn(&StoreCall) -> bool) -> Option<(CallId, StoreCall)> {
        let is_wanted = |o: &Output| matches!(o, Output::Store(_, call) if wanted(call));
        let at = self.outputs.iter().position(is_wanted)?;
        match self.outputs.remove(at) {
            Output::Store(id, call) => Some((id, call)),
            _ => None,
        }
    }

    /// Waits 100 ms and takes the first call to the store that `wanted` selects; returns its id.
    fn expect_call(&mut self, wanted: impl Fn(&StoreCall) -> bool) -> CallId {
        self.wait(100);
        self.take_call(wanted).expect("a call").0
    }

    fn answer(&mut self, id: CallId, answer: StoreAnswer) {
        let sent = self.world.clock_of(0).time;
        self.step(Input::Store {
            call: id,
            sent_at: sent,
            answer,
        });
    }

    fn ask(&mut self, req: u64, request: UserRequest) {
        self.step(Input::User(ReqId(req), request));
    }

    /// Returns the status and the body of the answer to a request, if there was one.
    fn answer_to(&mut self, req: u64) -> Option<(u16, Value)> {
        self.outputs.iter().find_map(|o| match o {
            Output::Answer {
                req: r,
                status,
                body,
                ..
            } if *r == ReqId(req) => Some((*status, serde_json::from_str(body).expect("JSON"))),
            _ => None,
        })
    }

    /// Delivers a job's record through the watch.
    fn watch_shows_job(&mut self, id: &JobId, version: u64, record: Value) {
        let event = Event::Put {
            key: format!("pub/job/{id}"),
            value: record,
            version: Version(version),
        };
        self.watch_shows(version, event);
    }

    /// Makes both peers report that they know all cancellations up to a revision.
    fn peers_know_up_to(&mut self, cancellation_watermark: u64) {
        for peer in ["n1", "n2"] {
            let message = ReplicateCancellations {
                from: peer.into(),
                cancellation_watermark: Version(cancellation_watermark),
                cancelled: Vec::new(),
            };
            self.step(Input::ReplicateCancellations(ReqId(900), message));
        }
    }
}

/// Returns the leader key, which names another node.
fn leader_key() -> Item<Value> {
    Item {
        value: json!({"node": "n1", "epoch": 3, "lease": 7}),
        key: "pub/leader".into(),
        version: Version(9),
        lease: None,
    }
}

fn id() -> JobId {
    "wk-000001".parse().expect("an id")
}

fn record(state: &str) -> Value {
    let spec = serde_json::to_value(replicas(1, 2)).expect("JSON");
    json!({"state": state, "submitted": 5, "tasks": 2, "spec": spec})
}

fn item(version: u64, state: &str) -> StoreAnswer {
    StoreAnswer::Found(Item {
        key: format!("pub/job/{}", id()),
        value: record(state),
        version: Version(version),
        lease: None,
    })
}

/// Whether a call is a commit without changes, which only checks versions.
fn is_check_commit(call: &StoreCall) -> bool {
    matches!(call, StoreCall::Commit(t) if t.changes.is_empty())
}

/// Whether a call reads the record of a job.
fn is_job_read(call: &StoreCall) -> bool {
    matches!(call, StoreCall::Get(key) if key.starts_with("pub/job/"))
}

/// A node used to answer that a job is unknown because the store had found none, although the node had learned by then
/// that the job was accepted by another node.
#[test]
fn job_accepted_during_the_request_is_not_reported_as_unknown() {
    let mut node = SingleNode::new(3);
    node.ask(1, UserRequest::Status(id()));
    let check = node.expect_call(is_check_commit);
    node.watch_shows_job(&id(), 20, record("pending"));
    node.answer(check, StoreAnswer::Committed(Version(19)));
    assert_eq!(node.answer_to(1), None);
    let read = node.expect_call(is_job_read);
    node.answer(read, item(20, "pending"));
    assert_eq!(node.answer_to(1).map(|(status, _)| status), Some(200));
    // The same if a read finds no record.
    let mut node = SingleNode::new(3);
    node.ask(1, UserRequest::Cancel(id()));
    let read = node.expect_call(is_job_read);
    node.watch_shows_job(&id(), 20, record("pending"));
    node.answer(read, StoreAnswer::Missing);
    assert_eq!(node.answer_to(1), None);
}

/// A record that was read before a cancellation used to be answered as it was read, after another answer had already
/// said that the job is cancelled.
#[test]
fn record_read_before_a_known_cancellation_is_not_reported() {
    let mut node = SingleNode::new(3);
    node.watch_shows_job(&id(), 20, record("pending"));
    node.ask(1, UserRequest::Status(id()));
    let check = node.expect_call(is_check_commit);
    node.answer(
        check,
        StoreAnswer::Conflict(vec![format!("pub/job/{}", id())]),
    );
    let read = node.expect_call(is_job_read);
    node.watch_shows_job(&id(), 30, record("aborted"));
    node.peers_know_up_to(30);
    node.ask(2, UserRequest::Status(id()));
    assert_eq!(
        node.answer_to(2).expect("an answer").1["bearing"],
        "aborted"
    );
    node.answer(read, item(21, "pending"));
    assert_eq!(
        node.answer_to(1).expect("an answer").1["bearing"],
        "aborted"
    );
}

/// A job that another node cancelled before the answer to its creation arrived must not be answered as pending.
#[test]
fn creating_node_reports_a_cancellation_that_precedes_the_commit_answer() {
    let mut node = SingleNode::new(3);
    let catalog = json!({"hulls": [{"label": "m4", "vcpus": 4.0, "gpus": 0.0, "memoryGb": 16.0,
        "cacheGb": 10.0, "fetchGbPerS": 1.0, "rate": 1.0, "marketPrice": 0.3, "startupS": 4.0,
        "berths": ["a", "b"]}]});
    let event = Event::Put {
        key: "pub/catalog".into(),
        value: catalog,
        version: Version(11),
    };
    node.watch_shows(11, event);
    node.ask(1, UserRequest::Submit(Box::new(replicas(1, 2))));
    let create = node.expect_call(|c| matches!(c, StoreCall::Commit(t) if !t.changes.is_empty()));
    node.watch_shows_job(&id(), 31, record("aborted"));
    node.peers_know_up_to(31);
    node.answer(create, StoreAnswer::Committed(Version(30)));
    assert_eq!(
        node.answer_to(1).expect("an answer").1["bearing"],
        "aborted"
    );
}

/// A cancellation is confirmed to the user once a majority knows it, and the request is refused at once when that
/// takes too long. The leader must be among them. Knowledge that other nodes have written to the store counts, too.
#[test]
fn cancellation_is_confirmed_only_when_a_majority_knows() {
    for nodes in [3, 5] {
        let mut node = SingleNode::new(nodes);
        node.watch_shows_job(&id(), 20, record("pending"));
        node.ask(1, UserRequest::Cancel(id()));
        let commit =
            node.expect_call(|c| matches!(c, StoreCall::Commit(t) if !t.changes.is_empty()));
        node.answer(commit, StoreAnswer::Committed(Version(21)));
        node.watch_shows_job(&id(), 21, record("aborted"));
        assert_eq!(node.answer_to(1), None);
        let replicated = |o: &Output| match o {
            Output::ReplicateCancellations(peer, a) => Some((peer.clone(), a.cancelled.clone())),
            _ => None,
        };
        let announced: Vec<_> = node.outputs.iter().filter_map(replicated).collect();
        assert_eq!(announced.len(), nodes - 1, "to every other node");
        let job = CancelledJob {
            job: id().to_string(),
            version: Version(21),
            cancelled_ms: announced[0].1[0].cancelled_ms,
            submitted_ms: 5,
            tasks: 2,
        };
        assert!(announced.iter().all(|(_, jobs)| *jobs == [job.clone()]));
        for (n, (peer, _)) in announced.iter().enumerate() {
            let enough = n + 1 > nodes / 2;
            assert_eq!(
                node.answer_to(1).is_some(),
                enough,
                "{n} others of {nodes} know"
            );
            let cancellation_watermark = Version(20);
            let reply = Some(ReplicateCancellationsReply {
                cancellation_watermark,
            });
            node.step(Input::ReplicateCancellationsReply(peer.clone(), reply));
        }
        assert_eq!(
            node.answer_to(1).expect("an answer").1["bearing"],
            "aborted"
        );
    }
    let mut node = SingleNode::new(3);
    node.watch_shows_job(&id(), 20, record("aborted"));
    node.ask(1, UserRequest::Status(id()));
    node.step(Input::ReplicateCancellationsReply("n1".into(), None));
    node.step(Input::ReplicateCancellationsReply("n2".into(), None));
    node.wait(400);
    assert_eq!(node.answer_to(1).expect("a refusal").0, 503);
    // The node asks the others to write what they know. The user asks again when one of them has done so.
    let writes = |c: &StoreCall| matches!(c, StoreCall::Commit(t) if t.conditions.is_empty());
    let written = node.expect_call(writes);
    node.answer(written, StoreAnswer::Committed(Version(22)));
    let published = |node: &str, version| Event::Put {
        key: format!("pub/known/{node}"),
        value: json!({"known_to": 22, "asks": 0}),
        version: Version(version),
    };
    node.watch_shows(23, published("n2", 23));
    node.wait(20);
    node.ask(2, UserRequest::Status(id()));
    assert_eq!(node.answer_to(2), None, "the leader may not know");
    node.watch_shows(24, published("n1", 24));
    node.wait(20);
    assert_eq!(
        node.answer_to(2).expect("an answer").1["bearing"],
        "aborted"
    );
}

/// A repeated submission is answered with the state of the accepted job, however much it differs from the first one,
/// and even if it could not be accepted by itself. A job that has ended keeps its state, and a job that was never
/// submitted is unknown.
#[test]
fn repeated_and_invalid_requests_get_the_documented_answers() {
    for (state, invalid) in [
        ("pending", false),
        ("done", false),
        ("done", true),
        ("aborted", true),
    ] {
        let mut node = SingleNode::new(3);
        node.watch_shows_job(&id(), 20, record(state));
        node.peers_know_up_to(20);
        let mut other = replicas(1, 3);
        if invalid {
            other.team = "nobody".into();
        }
        node.ask(1, UserRequest::Submit(Box::new(other)));
        if state == "pending" {
            let check = node.expect_call(is_check_commit);
            node.answer(check, StoreAnswer::Committed(Version(20)));
        }
        let (status, body) = node.answer_to(1).expect("an answer");
        assert_eq!(
            (status, &body["bearing"]),
            (200, &json!(state)),
            "{invalid}"
        );
        if state != "pending" {
            node.ask(2, UserRequest::Cancel(id()));
            let (status, body) = node.answer_to(2).expect("an answer");
            assert_eq!((status, &body["bearing"]), (200, &json!(state)));
        }
    }
    let mut node = SingleNode::new(3);
    node.ask(1, UserRequest::Cancel(id()));
    let read = node.expect_call(is_job_read);
    node.answer(read, StoreAnswer::Missing);
    assert_eq!(node.answer_to(1).map(|(status, _)| status), Some(404));
    // Without the machine types and without the store, a submission is refused at once.
    node.ask(2, UserRequest::Submit(Box::new(replicas(2, 1))));
    assert_eq!(node.answer_to(2).map(|(status, _)| status), Some(503));
    let mut unknown = replicas(3, 1);
    unknown.team = "nobody".into();
    node.ask(3, UserRequest::Submit(Box::new(unknown)));
    assert_eq!(node.answer_to(3).map(|(status, _)| status), Some(503));
}
