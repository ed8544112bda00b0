//! Three bounded queues of inputs for the core.
//!
//! Inputs on which correctness depends must not wait behind others. Heartbeats, replicated cancellations, answers to
//! the node's own calls and health checks are few, and have priority. Users' requests and agents' status reports may
//! arrive by the thousand at once, and take turns. An input that finds its queue full is refused at once, except
//! answers to own calls, which wait for room.

use crossbeam_channel::{bounded, select, Receiver, Sender};
use rudderreel_core::{Input, ReqId, UserRequest};
use std::time::{Duration, Instant};

/// Capacity of the control queue. There are few peers, and the number of own calls is bounded.
const CONTROL_QUEUE_CAPACITY: usize = 1_024;
/// Capacity of the queue of users' requests. The core accepts some hundreds at a time and refuses more.
const USER_QUEUE_CAPACITY: usize = 1_024;
/// Inputs taken in one round. While all queues hold inputs, two of them are control inputs, one is a user's request and
/// one a status report.
const TURNS_PER_ROUND: u32 = 4;

/// Queue times above which a request expires. An agent waits 4 s for the answer to its status report, a user 2 s for
/// the answer to a status request, and a peer [`BATCH_TIMEOUT`] for the answer to a batch of status reports. A sender
/// that has timed out repeats its request, so an answer to the first one is wasted work, and the more of it there is,
/// the fewer requests are answered in time.
const REPORT_TIMEOUT: Duration = Duration::from_millis(3_500);
const STATUS_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time that a node waits for the leader's answer to a batch of status reports.
pub const BATCH_TIMEOUT: Duration = Duration::from_millis(1_800);

/// An input and the time at which it was queued.
pub struct QueuedInput {
    queued_at: Instant,
    /// The input.
    pub input: Input,
}

/// Creates a queue for at most `capacity` inputs.
pub fn queue(capacity: usize) -> (InputSender, Receiver<QueuedInput>) {
    let (sender, inputs) = bounded(capacity);
    (InputSender(sender), inputs)
}

/// Sending end of one queue.
#[derive(Clone)]
pub struct InputSender(Sender<QueuedInput>);

impl InputSender {
    /// Queues an input; waits while the queue is full.
    pub fn send(&self, input: Input) -> Result<(), CoreStopped> {
        self.0.send(queued(input)).map_err(|_| CoreStopped)
    }

    /// Queues an input without waiting.
    fn offer(&self, input: Input) -> Result<(), QueueFull> {
        self.0.try_send(queued(input)).map_err(|_| QueueFull)
    }
}

fn queued(input: Input) -> QueuedInput {
    QueuedInput {
        queued_at: Instant::now(),
        input,
    }
}

/// Error: the core no longer receives inputs.
#[derive(Debug, PartialEq, Eq)]
pub struct CoreStopped;

/// Sending ends of the three queues.
#[derive(Clone)]
pub struct InputQueues {
    /// Heartbeats, replicated cancellations, answers to the node's own calls and health checks.
    pub control: InputSender,
    /// Requests of users and administrators, forwarded ones included.
    pub users: InputSender,
    /// Status reports of agents, and batches of status reports that peers forward.
    pub reports: InputSender,
}

/// Error: the queue is full, or the core no longer receives inputs.
#[derive(Debug, PartialEq, Eq)]
pub struct QueueFull;

/// Identifies one of the three queues.
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
    /// Returns the queue for an input.
    fn of(input: &Input) -> Self {
        match input {
            Input::User(..) | Input::ForwardedRequest { .. } | Input::Admin { .. } => Self::Users,
            Input::StatusReport(..) | Input::ForwardedReports(..) => Self::Reports,
            _ => Self::Control,
        }
    }
}

impl InputQueues {
    /// Queues an input in its queue without waiting.
    pub fn offer(&self, input: Input) -> Result<(), QueueFull> {
        let queue = match Queue::of(&input) {
            Queue::Control => &self.control,
            Queue::Users => &self.users,
            Queue::Reports => &self.reports,
        };
        queue.offer(input)
    }
}

/// An input taken from its queue.
pub struct ReceivedInput {
    /// The input.
    pub input: Input,
    /// Time that the input has waited in its queue.
    pub waited: Duration,
}

impl ReceivedInput {
    fn of(queued: QueuedInput) -> Self {
        Self {
            waited: queued.queued_at.elapsed(),
            input: queued.input,
        }
    }

    /// Returns the id of a request whose sender no longer waits for the answer. Only status reports, batches of them
    /// and users' status requests expire.
    pub fn expired_request(&self) -> Option<ReqId> {
        let (request, timeout) = match &self.input {
            Input::StatusReport(request, _) => (*request, REPORT_TIMEOUT),
            Input::ForwardedReports(request, _) => (*request, BATCH_TIMEOUT),
            Input::User(request, UserRequest::Status(_)) => (*request, STATUS_TIMEOUT),
            _ => return None,
        };
        (self.waited > timeout).then_some(request)
    }
}

/// Receiving ends of the three queues.
pub struct Inputs {
    control: Receiver<QueuedInput>,
    users: Receiver<QueuedInput>,
    reports: Receiver<QueuedInput>,
    turn: u32,
}

/// Creates the three queues, with a capacity of `reports` status reports or batches of them.
pub fn queues(reports: usize) -> (InputQueues, Inputs) {
    let (control, control_inputs) = queue(CONTROL_QUEUE_CAPACITY);
    let (users, user_inputs) = queue(USER_QUEUE_CAPACITY);
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
    /// Takes the next input; returns `None` if none arrives within `wait`.
    pub fn next(&mut self, wait: Duration) -> Option<ReceivedInput> {
        let queued = self.take_next().or_else(|| self.wait_for_one(wait));
        queued.map(ReceivedInput::of)
    }

    fn wait_for_one(&self, wait: Duration) -> Option<QueuedInput> {
        select! {
            recv(self.control) -> queued => queued.ok(),
            recv(self.users) -> queued => queued.ok(),
            recv(self.reports) -> queued => queued.ok(),
            default(wait) => None,
        }
    }

    /// Takes an input from the first non-empty queue, in the order of the present turn.
    fn take_next(&mut self) -> Option<QueuedInput> {
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
