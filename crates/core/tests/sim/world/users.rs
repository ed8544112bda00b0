//! Users: the jobs that they submit, query and cancel, and checks of the answers that they receive.

use super::*;

impl World {
    /// Records jobs whose last task has ended. During the fault [`Fault::JobsCancelledAtCompletion`], users cancel some
    /// of them at that moment.
    pub(super) fn jobs_ended(&mut self) {
        let done = |(id, tasks): &(&JobId, &BTreeSet<u32>)| {
            tasks.len() as u32 == self.jobs[*id].spec.tasks && !self.ended.contains(*id)
        };
        let ended: Vec<JobId> = (self.results.iter().filter(done))
            .map(|(id, _)| id.clone())
            .collect();
        for id in ended {
            self.ended.insert(id.clone());
            if self.now < self.cancel_at_end_until && self.rng.random_bool(0.6) {
                let node = self.rng.random_range(0..self.scenario.nodes);
                self.user_asks(node, &id, UserAction::Cancel);
                self.query_all_nodes(&id);
            }
        }
    }

    /// Has a user query all nodes within milliseconds and repeat the submission.
    pub(super) fn query_all_nodes(&mut self, id: &JobId) {
        for node in 0..self.scenario.nodes {
            for action in [UserAction::Status, UserAction::Submit] {
                let delay = self.rng.random_range(0..12);
                self.schedule(delay, Event::UserAction(node, id.clone(), action));
            }
        }
    }

    /// Adds a new job at random, has a user send a request about a random job, and schedules the next turn.
    pub(super) fn user_turn(&mut self) {
        let next = self
            .rng
            .random_range(self.scenario.user_interval_ms / 4..self.scenario.user_interval_ms);
        self.schedule(next, Event::UserTurn);
        let probability = if self.scenario.rush { 1.0 } else { 0.15 };
        if self.next_job < self.scenario.jobs && self.rng.random_bool(probability) {
            self.next_job += 1;
            let spec = if self.scenario.rush {
                self.small_job()
            } else if self.scenario.crowd {
                self.crowd_job()
            } else {
                self.new_job()
            };
            self.add_job(spec);
        }
        let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        if ids.is_empty() {
            return;
        }
        let id = ids[self.rng.random_range(0..ids.len())].clone();
        let job = &self.jobs[&id];
        let service = job.spec.kind == Kind::Service;
        let action = if !job.accepted || self.rng.random_bool(0.05) {
            UserAction::Submit
        } else if self.rng.random_bool(if service { 0.05 } else { 0.02 }) {
            UserAction::Cancel
        } else {
            UserAction::Status
        };
        let node = self.rng.random_range(0..self.scenario.nodes);
        self.user_asks(node, &id, action);
    }

    /// Adds a job that a user is about to submit.
    pub fn add_job(&mut self, spec: JobSpec) {
        let job = ObservedJob {
            spec: spec.clone(),
            accepted: false,
            last: None,
            cancelled_at: None,
            cancel_requested: false,
            startable_since: None,
            run_ms: match self.scenario.run_ms {
                Some(range) => range,
                None if self.scenario.uneven_run_times => (1_000, 13_000),
                None => (4_000, 0),
            },
            final_at: 0,
            added_at: self.now,
            accepted_at: 0,
            ready_at: None,
            begun_at: None,
            answered: BTreeMap::new(),
        };
        self.jobs.insert(spec.id.clone(), job);
    }

    /// Sends a user's request to a node if its process runs.
    pub fn user_asks(&mut self, node: usize, id: &JobId, action: UserAction) {
        let request = self.user_request(id, action);
        if action == UserAction::Cancel {
            self.jobs.get_mut(id).expect("a job").cancel_requested = true;
        }
        if self.nodes[node].process.is_some() {
            let req = self.new_request(node, Requester::User(id.clone(), action, self.now));
            self.copy_at_random_age(CopiedMessage::UserAction(node, id.clone(), action));
            self.step(node, Input::User(req, request));
        }
    }

    /// Returns a user's request about a job.
    pub(super) fn user_request(&self, id: &JobId, action: UserAction) -> UserRequest {
        match action {
            UserAction::Submit => UserRequest::Submit(Box::new(self.jobs[id].spec.clone())),
            UserAction::Status => UserRequest::Status(id.clone()),
            UserAction::Cancel => UserRequest::Cancel(id.clone()),
        }
    }

    /// Draws a job.
    pub(super) fn new_job(&mut self) -> JobSpec {
        let rng = &mut self.rng;
        let kinds = if self.scenario.no_replicas { 2 } else { 3 };
        let kind = ["sweep", "gang", "standing"][rng.random_range(0..kinds)];
        let team = ["red", "blue"][rng.random_range(0..2)];
        let priority = if kind == "standing" { "prod" } else { "normal" };
        let tasks = match (self.scenario.large, kind) {
            (true, "sweep") => rng.random_range(20..60),
            (true, "gang") => rng.random_range(4..16),
            _ => rng.random_range(1..5),
        };
        let together = kind == "gang" && rng.random_bool(0.5);
        let scatter = kind == "standing" && !self.scenario.zone_bound_jobs && rng.random_bool(0.5);
        let berth = (self.scenario.zone_bound_jobs && rng.random_bool(0.5))
            .then(|| ["a", "b"][rng.random_range(0..2)]);
        let gpus = f64::from(u8::from(
            self.scenario.offers_gpus() && self.rng.random_bool(0.3),
        ));
        let needs = self.draw_dependencies();
        let expected_s = (self.scenario.run_ms)
            .map_or(4.0, |(first, increase)| (first + increase / 2) as f64 / 1e3);
        let rng = &mut self.rng;
        let value = serde_json::json!({
            "id": format!("wk-{:06}", self.next_job), "reel": kind, "crew": team, "rig": kind,
            "precedence": priority, "takes": tasks, "vcpus": 1.0, "gpus": gpus, "memoryGb": 1.0,
            "pressing": format!("img-{}", rng.random_range(0..2)), "pullGb": 0.5, "hulls": null,
            "berth": berth, "together": together, "scatter": scatter,
            "driftwood": kind != "standing", "expectedS": expected_s, "snapshotS": 0.0, "stowS": 0.0,
            "dueS": null, "awaits": needs});
        serde_json::from_value(value).expect("a job")
    }

    /// Draws a job of one task, and schedules repeated submissions of it and perhaps its cancellation.
    pub(super) fn small_job(&mut self) -> JobSpec {
        let mut spec = self.new_job();
        (spec.kind, spec.tasks) = (Kind::Array, 1);
        (spec.one_zone, spec.spread, spec.spot) = (false, false, true);
        spec.class = "sweep".into();
        spec.priority = Priority::Normal;
        let id = spec.id.clone();
        // The submission is repeated; repeats for an accepted job are answered, too.
        for repeat in 0..12 {
            let node = self.rng.random_range(0..self.scenario.nodes);
            self.schedule(
                1 + repeat * 4_000,
                Event::UserAction(node, id.clone(), UserAction::Submit),
            );
        }
        if self.rng.random_bool(0.25) {
            let delay = self.rng.random_range(50..9_000);
            for repeat in 0..12 {
                let node = self.rng.random_range(0..self.scenario.nodes);
                self.schedule(
                    delay + repeat * 4_000,
                    Event::UserAction(node, id.clone(), UserAction::Cancel),
                );
            }
        }
        spec
    }

    /// Sends a submission that can't be accepted and the cancellation of a job that has ended.
    pub(super) fn submit_invalid_requests(&mut self) {
        let node = self.rng.random_range(0..self.scenario.nodes);
        if self.nodes[node].process.is_none() {
            return;
        }
        let mut spec = self.new_job();
        self.next_invalid += 1;
        spec.id = format!("wk-{}", 900_000 + self.next_invalid)
            .parse()
            .expect("an id");
        match self.rng.random_range(0..6) {
            4 => spec.dependencies = vec!["wk-999999".parse().expect("an id")],
            5 => spec.dependencies = vec![spec.id.clone()],
            0 => spec.team = "nobody".into(),
            1 => spec.cpus = 5.0,
            2 => spec.types = Some(vec!["m-none".into()]),
            _ => (spec.kind, spec.tasks, spec.cpus) = (Kind::Gang, 90_000, 4.0),
        }
        let req = self.new_request(node, Requester::InvalidSubmission(spec.id.clone()));
        self.step(node, Input::User(req, UserRequest::Submit(Box::new(spec))));
        let has_ended =
            |t: &&ObservedJob| matches!(t.last, Some(JobState::Done | JobState::Cancelled));
        let ended: Vec<JobId> = (self.jobs.values().filter(has_ended))
            .map(|t| t.spec.id.clone())
            .collect();
        if !ended.is_empty() {
            let id = ended[self.rng.random_range(0..ended.len())].clone();
            self.user_asks(node, &id, UserAction::Cancel);
            self.query_all_nodes(&id);
        }
    }

    /// Draws a job of a crowded cluster: small arrays, most of them from one team; now and then a large array, or a
    /// gang that needs most of a zone.
    pub(super) fn crowd_job(&mut self) -> JobSpec {
        let n = self.next_job;
        let (kind, tasks, cpus) = match n % 80 {
            7 | 47 => ("gang", 4, 4.0),
            19 => ("sweep", 100, 1.0),
            _ => ("sweep", self.rng.random_range(1..4), 1.0),
        };
        let team = if n % 10 == 3 || kind == "gang" {
            "red"
        } else {
            "blue"
        };
        let value = serde_json::json!({
            "id": format!("wk-{n:06}"), "reel": kind, "crew": team, "rig": kind,
            "precedence": "normal", "takes": tasks, "vcpus": cpus, "gpus": 0.0, "memoryGb": 1.0,
            "pressing": "img-0", "pullGb": 0.5, "hulls": null, "berth": null,
            "together": kind == "gang", "scatter": false, "driftwood": true, "expectedS": 4.0,
            "snapshotS": 0.0, "stowS": 0.0, "dueS": null});
        serde_json::from_value(value).expect("a job")
    }

    /// Queries every job at one node after the other once faults have ended, and checks that each node answers in time.
    /// A refusal doesn't count as an answer.
    pub(super) fn sweep_statuses(&mut self, round: usize) {
        self.schedule(5_000, Event::StatusSweep(round + 1));
        self.check_waiting();
        let node = round % self.scenario.nodes;
        let since = self.faults_ended_at.unwrap_or(self.now);
        let ids: Vec<JobId> = (self.jobs.iter())
            .filter(|(_, t)| t.accepted)
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            let job = &self.jobs[&id];
            for n in 0..self.scenario.nodes {
                let answered = job.answered.get(&n).copied().unwrap_or(0);
                let last = answered.max(job.accepted_at).max(since);
                assert!(
                    self.now <= last + MAX_UNANSWERED_MS,
                    "forgotten: {id} at node {n}, at {}",
                    self.now
                );
            }
            if self.nodes[node].process.is_some() {
                let req = self.new_request(
                    node,
                    Requester::User(id.clone(), UserAction::Status, self.now),
                );
                self.step(node, Input::User(req, UserRequest::Status(id)));
            }
        }
    }

    /// Checks the answer to a user's request about a job, and records it.
    pub(super) fn job_answered(
        &mut self,
        id: &JobId,
        action: UserAction,
        at: u64,
        status: u16,
        body: &str,
    ) {
        let now = self.now;
        let job = self.jobs.get_mut(id).expect("a known job");
        if status == 503 {
            return;
        }
        if status == 404 {
            assert!(!job.accepted, "forgotten: {id} got 404");
            return;
        }
        assert!(
            status == 200 || (status == 201 && action == UserAction::Submit),
            "{id} got {status}: {body}"
        );
        let value: Value = serde_json::from_str(body).expect("JSON");
        let state: JobState = serde_json::from_value(value["bearing"].clone()).expect("a state");
        if !job.accepted {
            job.accepted = true;
            job.accepted_at = now;
        }
        if let Some(last @ (JobState::Done | JobState::Cancelled)) = job.last {
            // A request that was in flight when its user received a final answer may be answered from an older
            // read. Users otherwise send one request after the other.
            assert!(
                state == last || at <= job.final_at,
                "went_back: {id} {last:?} {state:?}"
            );
            return;
        }
        if matches!(state, JobState::Done | JobState::Cancelled) {
            job.final_at = now;
        }
        if state == JobState::Done {
            let done = self.results.get(id).map_or(0, BTreeSet::len) as u32;
            assert_eq!(done, job.spec.tasks, "not_done: {id} at {now}");
        }
        if state == JobState::Cancelled {
            job.cancelled_at.get_or_insert(now);
            self.check_cancelled(id);
        } else {
            self.check_not_orphaned(id);
        }
        let job = self.jobs.get_mut(id).expect("a known job");
        let is_new_state = job.last.is_none() || job.last != Some(state);
        job.last = Some(state);
        if matches!(state, JobState::Done | JobState::Cancelled) {
            self.copy_starts_of_job(id);
        }
        if is_new_state && now < self.rapid_status_until {
            self.query_all_nodes(id);
            if state == JobState::Queued && self.rng.random_bool(0.2) {
                let node = self.rng.random_range(0..self.scenario.nodes);
                self.jobs.get_mut(id).expect("a job").cancel_requested = true;
                let delay = self.rng.random_range(0..12);
                self.schedule(
                    delay,
                    Event::UserAction(node, id.clone(), UserAction::Cancel),
                );
            }
        }
    }

    /// Sends a user's cancellation; the user leaves before the answer arrives.
    pub fn cancel_without_waiting(&mut self, node: usize, id: &JobId) {
        self.jobs.get_mut(id).expect("a job").cancel_requested = true;
        let req = self.new_request(node, Requester::Nobody);
        self.step(node, Input::User(req, UserRequest::Cancel(id.clone())));
    }
}
