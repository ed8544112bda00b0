//! Answers are made from the newest that a node knows at the moment of telling, whatever it read before.

use super::cancellations_in_outages::replicas;
use super::world::{Scenario, World};
use rudderreel_core::{CallId, Input, Node, Output, ReqId, StoreAnswer, StoreCall, UserRequest};
use rudderreel_wire::ids::{JobId, Version};
use rudderreel_wire::peer::{CancelledJob, ReplicateCancellations, ReplicateCancellationsReply};
use rudderreel_wire::state::{Event, Item, Page};
use serde_json::{json, Value};

/// A node alone with its test, which answers its calls.
struct SingleNode {
    node: Node,
    world: World,
    out: Vec<Output>,
}

impl SingleNode {
    /// One of so many nodes, that has read an empty store.
    fn new(nodes: usize) -> Self {
        let scenario = Scenario {
            nodes,
            scripted: true,
            ..Scenario::default()
        };
        let world = World::of(570, scenario);
        let node = Node::new(world.settings_of(0));
        let mut node = Self {
            node,
            world,
            out: Vec::new(),
        };
        node.wait(1_000);
        while let Some((id, call)) = node.call(|_| true) {
            let answer = match call {
                StoreCall::List(..) => StoreAnswer::Page(Page {
                    items: Vec::new(),
                    more: false,
                    revision: Version(10),
                }),
                // Somebody else leads.
                StoreCall::Get(key) if key == "pub/leader" => StoreAnswer::Found(Item {
                    value: json!({"node": "n1", "epoch": 3, "lease": 7}),
                    key,
                    version: Version(9),
                    lease: None,
                }),
                _ => StoreAnswer::Refused,
            };
            node.answer(id, answer);
        }
        node
    }

    fn step(&mut self, input: Input) {
        self.world.now += 1;
        let now = self.world.clock_of(0);
        self.out.extend(self.node.step(input, now));
    }

    /// The watch shows a change.
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

    /// Takes the next call to the store of a kind.
    fn call(&mut self, wanted: impl Fn(&StoreCall) -> bool) -> Option<(CallId, StoreCall)> {
        let of = |o: &Output| matches!(o, Output::Store(_, call) if wanted(call));
        let at = self.out.iter().position(of)?;
        match self.out.remove(at) {
            Output::Store(id, call) => Some((id, call)),
            _ => None,
        }
    }

    /// Waits for such a call.
    fn expect(&mut self, wanted: impl Fn(&StoreCall) -> bool) -> CallId {
        self.wait(100);
        self.call(wanted).expect("a call").0
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

    /// The answer to a request, if there was one.
    fn told(&mut self, req: u64) -> Option<(u16, Value)> {
        self.out.iter().find_map(|o| match o {
            Output::Answer {
                req: r,
                status,
                body,
                ..
            } if *r == ReqId(req) => Some((*status, serde_json::from_str(body).expect("JSON"))),
            _ => None,
        })
    }

    /// The watch shows a job's record.
    fn watched(&mut self, id: &JobId, version: u64, record: Value) {
        let event = Event::Put {
            key: format!("pub/job/{id}"),
            value: record,
            version: Version(version),
        };
        self.watch_shows(version, event);
    }

    /// Everybody else knows everything up to a revision.
    fn all_know(&mut self, cancellation_watermark: u64) {
        for peer in ["n1", "n2"] {
            let told = ReplicateCancellations {
                from: peer.into(),
                cancellation_watermark: Version(cancellation_watermark),
                cancelled: Vec::new(),
            };
            self.step(Input::ReplicateCancellations(ReqId(900), told));
        }
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

fn is_check(call: &StoreCall) -> bool {
    matches!(call, StoreCall::Commit(t) if t.changes.is_empty())
}

fn is_read(call: &StoreCall) -> bool {
    matches!(call, StoreCall::Get(key) if key.starts_with("pub/job/"))
}

/// Told by the store that there was no such job, a node said so, although it had learned by then
/// that it was accepted elsewhere.
#[test]
fn no_job_is_unknown_that_was_accepted_meanwhile() {
    let mut node = SingleNode::new(3);
    node.ask(1, UserRequest::Status(id()));
    let check = node.expect(is_check);
    node.watched(&id(), 20, record("pending"));
    node.answer(check, StoreAnswer::Committed(Version(19)));
    assert_eq!(node.told(1), None);
    let read = node.expect(is_read);
    node.answer(read, item(20, "pending"));
    assert_eq!(node.told(1).map(|(status, _)| status), Some(200));
    // The same for a read that found nothing.
    let mut node = SingleNode::new(3);
    node.ask(1, UserRequest::Cancel(id()));
    let read = node.expect(is_read);
    node.watched(&id(), 20, record("pending"));
    node.answer(read, StoreAnswer::Missing);
    assert_eq!(node.told(1), None);
}

/// A record that was read before a cancellation was told as it was read, after another answer had said
/// that the job is cancelled.
#[test]
fn what_was_read_is_not_told_when_something_newer_is_known() {
    let mut node = SingleNode::new(3);
    node.watched(&id(), 20, record("pending"));
    node.ask(1, UserRequest::Status(id()));
    let check = node.expect(is_check);
    node.answer(
        check,
        StoreAnswer::Conflict(vec![format!("pub/job/{}", id())]),
    );
    let read = node.expect(is_read);
    node.watched(&id(), 30, record("aborted"));
    node.all_know(30);
    node.ask(2, UserRequest::Status(id()));
    assert_eq!(node.told(2).expect("an answer").1["bearing"], "aborted");
    node.answer(read, item(21, "pending"));
    assert_eq!(node.told(1).expect("an answer").1["bearing"], "aborted");
}

/// A job that another node cancelled before the answer to its creation came is not told as pending.
#[test]
fn a_job_is_told_as_cancelled_by_the_node_that_created_it() {
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
    let create = node.expect(|c| matches!(c, StoreCall::Commit(t) if !t.changes.is_empty()));
    node.watched(&id(), 31, record("aborted"));
    node.all_know(31);
    node.answer(create, StoreAnswer::Committed(Version(30)));
    assert_eq!(node.told(1).expect("an answer").1["bearing"], "aborted");
}

/// A user is told once a majority knows, and refused at once when that takes too long; what others have
/// written through the store counts, too.
#[test]
fn a_cancellation_is_told_when_a_majority_knows() {
    for nodes in [3, 5] {
        let mut node = SingleNode::new(nodes);
        node.watched(&id(), 20, record("pending"));
        node.ask(1, UserRequest::Cancel(id()));
        let commit = node.expect(|c| matches!(c, StoreCall::Commit(t) if !t.changes.is_empty()));
        node.answer(commit, StoreAnswer::Committed(Version(21)));
        assert_eq!(node.told(1), None);
        let told = |o: &Output| match o {
            Output::ReplicateCancellations(peer, a) => Some((peer.clone(), a.cancelled.clone())),
            _ => None,
        };
        let announced: Vec<_> = node.out.iter().filter_map(told).collect();
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
            assert_eq!(node.told(1).is_some(), enough, "{n} others of {nodes} know");
            let cancellation_watermark = Version(20);
            let reply = Some(ReplicateCancellationsReply {
                cancellation_watermark,
            });
            node.step(Input::ReplicateCancellationsReply(peer.clone(), reply));
        }
        assert_eq!(node.told(1).expect("an answer").1["bearing"], "aborted");
    }
    let mut node = SingleNode::new(3);
    node.watched(&id(), 20, record("aborted"));
    node.ask(1, UserRequest::Status(id()));
    node.step(Input::ReplicateCancellationsReply("n1".into(), None));
    node.step(Input::ReplicateCancellationsReply("n2".into(), None));
    node.wait(400);
    assert_eq!(node.told(1).expect("a refusal").0, 503);
    // It asks the others to write what they know, and is asked again when one has.
    let writes = |c: &StoreCall| matches!(c, StoreCall::Commit(t) if t.conditions.is_empty());
    let written = node.expect(writes);
    node.answer(written, StoreAnswer::Committed(Version(22)));
    let event = Event::Put {
        key: "pub/known/n2".into(),
        value: json!({"known_to": 22, "asks": 0}),
        version: Version(23),
    };
    node.watch_shows(23, event);
    node.wait(20);
    node.ask(2, UserRequest::Status(id()));
    assert_eq!(node.told(2).expect("an answer").1["bearing"], "aborted");
}

/// A repeated submission is answered with the state of the job that was accepted, however much it differs
/// from the first; so is one that could not be accepted by itself. A job that is over stays as it is, and one
/// that nobody submitted is unknown.
#[test]
fn odd_requests_get_the_documented_answers() {
    for (state, odd) in [
        ("pending", false),
        ("done", false),
        ("done", true),
        ("aborted", true),
    ] {
        let mut node = SingleNode::new(3);
        node.watched(&id(), 20, record(state));
        node.all_know(20);
        let mut other = replicas(1, 3);
        if odd {
            other.team = "nobody".into();
        }
        node.ask(1, UserRequest::Submit(Box::new(other)));
        if state == "pending" {
            let check = node.expect(is_check);
            node.answer(check, StoreAnswer::Committed(Version(20)));
        }
        let (status, body) = node.told(1).expect("an answer");
        assert_eq!((status, &body["bearing"]), (200, &json!(state)), "{odd}");
        if state != "pending" {
            node.ask(2, UserRequest::Cancel(id()));
            let (status, body) = node.told(2).expect("an answer");
            assert_eq!((status, &body["bearing"]), (200, &json!(state)));
        }
    }
    let mut node = SingleNode::new(3);
    node.ask(1, UserRequest::Cancel(id()));
    let read = node.expect(is_read);
    node.answer(read, StoreAnswer::Missing);
    assert_eq!(node.told(1).map(|(status, _)| status), Some(404));
    // Without the machine types, and without the store, it is refused at once.
    node.ask(2, UserRequest::Submit(Box::new(replicas(2, 1))));
    assert_eq!(node.told(2).map(|(status, _)| status), Some(503));
    let mut unknown = replicas(3, 1);
    unknown.team = "nobody".into();
    node.ask(3, UserRequest::Submit(Box::new(unknown)));
    assert_eq!(node.told(3).map(|(status, _)| status), Some(503));
}
