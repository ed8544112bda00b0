//! Inputs that wait for the core, in three bounded queues.
//!
//! What keeps a rule must not wait behind what doesn't. Heartbeats, replicated cancellations, answers to the
//! node's own calls and health checks are few, and go first. Users' requests and agents' status reports may
//! come by the thousand at once, and take turns. Whatever finds its queue full is refused at once; answers to
//! own calls wait for room.

use crossbeam_channel::{bounded, select, Receiver, Sender};
use rudderreel_core::{Input, ReqId, UserRequest};
use std::time::{Duration, Instant};

/// Inputs of peers and answers that may wait: there are few peers, and own calls are bounded.
const CONTROL_QUEUE: usize = 1_024;
/// Users' requests that may wait. The core takes some hundreds at a time and refuses more.
const USER_QUEUE: usize = 1_024;
/// Of so many inputs, taken in a rush, two are control inputs, one is a user's and one a report.
const TURNS_PER_ROUND: u32 = 4;

/// An agent waits 4 s for the answer to its status report, a user 2 s for that to a status request, and a peer
/// as long as this for that to a batch of status reports. Whoever has gone asks again: an answer to the first
/// request is work for nobody, and the more of it there is the fewer are answered in time.
const REPORT_TIMEOUT: Duration = Duration::from_millis(3_500);
const STATUS_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long a node waits for the leader's answer to a batch of status reports.
pub const BATCH_TIMEOUT: Duration = Duration::from_millis(1_800);

/// An input, and since when it waits.
pub struct Queued {
    since: Instant,
    /// The input.
    pub input: Input,
}

/// A queue with room for so many inputs.
pub fn queue(room: usize) -> (InputSender, Receiver<Queued>) {
    let (sender, inputs) = bounded(room);
    (InputSender(sender), inputs)
}

/// Where inputs of one queue are handed over.
#[derive(Clone)]
pub struct InputSender(Sender<Queued>);

impl InputSender {
    /// Hands an input over, once there is room.
    pub fn send(&self, input: Input) -> Result<(), CoreGone> {
        self.0.send(queued(input)).map_err(|_| CoreGone)
    }

    /// Hands an input over without waiting.
    fn offer(&self, input: Input) -> Result<(), QueueFull> {
        self.0.try_send(queued(input)).map_err(|_| QueueFull)
    }
}

fn queued(input: Input) -> Queued {
    Queued {
        since: Instant::now(),
        input,
    }
}

/// That nobody takes inputs any more.
#[derive(Debug, PartialEq, Eq)]
pub struct CoreGone;

/// Where inputs are handed over.
#[derive(Clone)]
pub struct InputQueues {
    /// What keeps the node in touch: heartbeats, replicated cancellations, answers to own calls, health checks.
    pub control: InputSender,
    /// Requests of users and administrators.
    pub users: InputSender,
    /// Status reports of agents, and batches of them that peers forward.
    pub reports: InputSender,
}

/// That the queue is full, or the core gone.
#[derive(Debug, PartialEq, Eq)]
pub struct QueueFull;

/// Which queue an input waits in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Queue {
    /// See [`InputQueues::control`].
    Control,
    /// See [`InputQueues::users`].
    Users,
    /// See [`InputQueues::reports`].
    Reports,
}

impl Queue {
    /// The queue for an input.
    fn of(input: &Input) -> Self {
        match input {
            Input::User(..) | Input::ForwardedRequest { .. } | Input::Admin { .. } => Self::Users,
            Input::StatusReport(..) | Input::ForwardedReports(..) => Self::Reports,
            _ => Self::Control,
        }
    }
}

impl InputQueues {
    /// Hands an input over without waiting.
    pub fn offer(&self, input: Input) -> Result<(), QueueFull> {
        let queue = match Queue::of(&input) {
            Queue::Control => &self.control,
            Queue::Users => &self.users,
            Queue::Reports => &self.reports,
        };
        queue.offer(input)
    }
}

/// The input that the core takes next.
pub struct Arrived {
    /// The input.
    pub input: Input,
    /// How long it has waited.
    pub waited: Duration,
}

impl Arrived {
    fn of(queued: Queued) -> Self {
        Self {
            waited: queued.since.elapsed(),
            input: queued.input,
        }
    }

    /// The request whose sender no longer waits for its answer, if that is so.
    pub fn given_up(&self) -> Option<ReqId> {
        let (request, timeout) = match &self.input {
            Input::StatusReport(request, _) => (*request, REPORT_TIMEOUT),
            Input::ForwardedReports(request, _) => (*request, BATCH_TIMEOUT),
            Input::User(request, UserRequest::Status(_)) => (*request, STATUS_TIMEOUT),
            _ => return None,
        };
        (self.waited > timeout).then_some(request)
    }
}

/// What waits for the core.
pub struct Inputs {
    control: Receiver<Queued>,
    users: Receiver<Queued>,
    reports: Receiver<Queued>,
    turn: u32,
}

/// The queues, with room for so many reports.
pub fn queues(reports: usize) -> (InputQueues, Inputs) {
    let (control, control_inputs) = queue(CONTROL_QUEUE);
    let (users, user_inputs) = queue(USER_QUEUE);
    let (reports, report_inputs) = queue(reports);
    let senders = InputQueues {
        control,
        users,
        reports,
    };
    let inputs = Inputs {
        control: control_inputs,
        users: user_inputs,
        reports: report_inputs,
        turn: 0,
    };
    (senders, inputs)
}

impl Inputs {
    /// The next input, if one comes in time.
    pub fn next(&mut self, wait: Duration) -> Option<Arrived> {
        let queued = self.waiting().or_else(|| self.wait_for_one(wait));
        queued.map(Arrived::of)
    }

    fn wait_for_one(&self, wait: Duration) -> Option<Queued> {
        select! {
            recv(self.control) -> queued => queued.ok(),
            recv(self.users) -> queued => queued.ok(),
            recv(self.reports) -> queued => queued.ok(),
            default(wait) => None,
        }
    }

    /// The input whose turn it is, if any waits.
    fn waiting(&mut self) -> Option<Queued> {
        self.turn = (self.turn + 1) % TURNS_PER_ROUND;
        let (control, users, reports) = (&self.control, &self.users, &self.reports);
        let order = match self.turn {
            0 => [users, control, reports],
            1 => [control, reports, users],
            2 => [reports, control, users],
            _ => [control, users, reports],
        };
        order.into_iter().find_map(|queue| queue.try_recv().ok())
    }
}

#[cfg(test)]
mod tests;
