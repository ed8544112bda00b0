//! The watch of the store's shared keys, on a thread of its own.

use crate::clients::http_client::{http_client, CallLimits};
use crate::clients::store::{watch_store, WatchReply};
use crate::clock::Clock;
use crate::input_queues::InputSender;
use crate::startup_error::StartupError;
use crate::threads::{spawn, ThreadRole};
use crossbeam_channel::{bounded, Sender};
use rudderreel_core::Input;
use rudderreel_wire::ids::Version;
use rudderreel_wire::settings::Settings;
use std::net::SocketAddrV4;
use std::thread;
use std::time::{Duration, Instant};
use ureq::Agent;

/// Prefix of the keys that every node watches.
const WATCHED_PREFIX: &str = "pub/";
/// Fraction of the store's request limit that the watches of all nodes may use together: each watch is requested again
/// after every change.
const WATCH_REQUEST_FRACTION: f64 = 0.2;
/// Lower bound of the calculated number of watches per second, and maximum pause between two watches.
const MIN_WATCHES_PER_S: f64 = 0.1;
const MAX_PAUSE: Duration = Duration::from_millis(400);
/// Pause before a watch without a usable answer is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
const CALL_TIMEOUT: Duration = Duration::from_secs(12);
/// Maximum number of queued watches. The core requests the next watch when it has the answer to the last one.
const QUEUE_CAPACITY: usize = 4;

/// Queue of the revisions after which the core wants to watch.
pub(super) struct WatchQueue(pub(super) Sender<Version>);

impl WatchQueue {
    pub(super) fn start(
        settings: &Settings,
        clock: Clock,
        core: &InputSender,
    ) -> Result<Self, StartupError> {
        let watch = StoreWatch {
            client: http_client(CallLimits::new(CONNECT_TIMEOUT, CALL_TIMEOUT)),
            addr: settings.services.state,
            clock,
            pause: pause_between_watches(settings),
        };
        let (sender, revisions) = bounded::<Version>(QUEUE_CAPACITY);
        let core = core.clone();
        spawn(ThreadRole::StoreWatch, move || {
            for after in revisions {
                let began = Instant::now();
                if core.send(watch.next_change(after)).is_err() {
                    return;
                }
                thread::sleep(watch.pause.saturating_sub(began.elapsed()));
            }
        })?;
        Ok(Self(sender))
    }

    /// Queues a watch after a revision. If the queue is full, returns the input for a lost watch.
    pub(super) fn send(&self, after: Version) -> Option<Input> {
        let is_queued = self.0.try_send(after).is_ok();
        (!is_queued).then_some(Input::WatchLost)
    }
}

struct StoreWatch {
    client: Agent,
    addr: SocketAddrV4,
    clock: Clock,
    pause: Duration,
}

impl StoreWatch {
    /// Waits until a watched key has changed after the revision, or the watch is lost.
    fn next_change(&self, mut after: Version) -> Input {
        loop {
            let sent_at = self.clock.time();
            match watch_store(&self.client, self.addr, WATCHED_PREFIX, after) {
                WatchReply::Events(e) if e.events.is_empty() => after = e.revision.max(after),
                WatchReply::Events(e) => {
                    return Input::Watched {
                        sent_at,
                        revision: e.revision,
                        events: e.events,
                    }
                }
                WatchReply::Lost => return Input::WatchLost,
                WatchReply::Failed => thread::sleep(RETRY_PAUSE),
            }
        }
    }
}

fn pause_between_watches(settings: &Settings) -> Duration {
    let nodes = f64::from(settings.params.nodes.max(1));
    let watches_per_s = settings.params.state.rps * WATCH_REQUEST_FRACTION / nodes;
    let pause = Duration::from_secs_f64(1.0 / watches_per_s.max(MIN_WATCHES_PER_S));
    pause.min(MAX_PAUSE)
}
