//! What waits for the core, in three bounded queues.
//!
//! What keeps a rule must not wait behind what doesn't. Heartbeats, announcements, answers to the node's
//! own calls and health checks are few, and go first. Users' requests and workers' reports may come by the
//! thousand at once, and take turns. Whatever finds its queue full is refused at once; answers to own
//! calls wait for room.

use crossbeam_channel::{bounded, select, Receiver, Sender, TrySendError};
use rudderreel_core::Input;
use std::time::Duration;

/// Inputs of peers and answers that may wait: there are few peers, and own calls are bounded.
const CONTROL: usize = 1_024;
/// Users' requests that may wait. The core takes some hundreds at a time and refuses more.
const USERS: usize = 1_024;
/// Of so many inputs, taken in a rush, two are control inputs, one is a user's and one a report.
const TURNS: u32 = 4;

/// Where inputs are handed over.
#[derive(Clone)]
pub struct InputQueues {
    /// What keeps the node in touch: heartbeats, announcements, answers to own calls, health checks.
    pub control: Sender<Input>,
    /// Requests of users and administrators.
    pub users: Sender<Input>,
    /// Reports of workers, and batches of them.
    pub reports: Sender<Input>,
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
            Input::User(..) | Input::Forwarded(..) | Input::Admin(..) => Self::Users,
            Input::Report(..) | Input::Reports(..) => Self::Reports,
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
        queue.try_send(input).map_err(|e| match e {
            TrySendError::Full(_) | TrySendError::Disconnected(_) => QueueFull,
        })
    }
}

/// What waits for the core.
pub struct Inputs {
    control: Receiver<Input>,
    users: Receiver<Input>,
    reports: Receiver<Input>,
    turn: u32,
}

/// The queues, with room for so many reports.
pub fn queues(reports: usize) -> (InputQueues, Inputs) {
    let (control, control_inputs) = bounded(CONTROL);
    let (users, user_inputs) = bounded(USERS);
    let (reports, report_inputs) = bounded(reports);
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
    pub fn next(&mut self, wait: Duration) -> Option<Input> {
        if let Some(input) = self.waiting() {
            return Some(input);
        }
        select! {
            recv(self.control) -> input => input.ok(),
            recv(self.users) -> input => input.ok(),
            recv(self.reports) -> input => input.ok(),
            default(wait) => None,
        }
    }

    /// The input whose turn it is, if any waits.
    fn waiting(&mut self) -> Option<Input> {
        self.turn = (self.turn + 1) % TURNS;
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
