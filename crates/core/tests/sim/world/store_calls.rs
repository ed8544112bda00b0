//! Calls of nodes to the store: a call may be lost, be carried out late, or be carried out while its answer is lost.

use super::*;

impl World {
    /// Delivers a call to the store, subject to the faults of the moment.
    pub(super) fn call_store(
        &mut self,
        node: usize,
        generation: u32,
        id: CallId,
        sent: Time,
        call: rudderreel_core::StoreCall,
    ) {
        let mut message_delay = self.message_delay();
        if self.now < self.store_slow_until {
            message_delay += self.rng.random_range(60..400);
        }
        let cut = self.now < self.nodes[node].cut_from_store_until;
        let repeat = call.clone();
        if self.random_faults
            && self.alive(node, generation)
            && is_crash_point(&call)
            && self.rng.random_bool(0.04)
        {
            // The node crashes in the middle of an election, of raising the epoch or of a batch of starts;
            // its call is carried out now, later or never.
            if self.rng.random_bool(0.7) {
                let delay = self.rng.random_range(0..3_000);
                self.schedule(delay, Event::LateTransaction(call));
            }
            return self.restart_quickly(node);
        }
        let is_write =
            matches!(&call, rudderreel_core::StoreCall::Commit(t) if !t.changes.is_empty());
        let late = self.now < self.late_writes_until && self.rng.random_bool(0.3);
        let lost = self.now < self.lost_answers_until && self.rng.random_bool(0.3);
        let answer = if self.store.down || cut {
            StoreAnswer::Refused
        } else if is_write && (late || lost) {
            if lost {
                self.store.call(&call, self.now);
            } else {
                let delay = self.rng.random_range(2_000..12_000);
                self.schedule(delay, Event::LateTransaction(call));
            }
            let input = Input::Store {
                call: id,
                sent_at: sent,
                answer: StoreAnswer::Unknown,
            };
            return self.schedule(1_200, Event::Input(node, generation, input));
        } else if self.random_faults && self.rng.random_bool(0.01) {
            // The answer is lost; the call is carried out now, later or never.
            let delay = self.rng.random_range(0..8_000);
            if self.rng.random_bool(0.7) {
                self.schedule(delay, Event::LateTransaction(call));
            }
            self.schedule(
                1_000,
                Event::Input(
                    node,
                    generation,
                    Input::Store {
                        call: id,
                        sent_at: sent,
                        answer: StoreAnswer::Unknown,
                    },
                ),
            );
            return;
        } else {
            self.store.call(&call, self.now)
        };
        if is_write {
            self.copy_at_random_age(CopiedMessage::Store(repeat.clone()));
        }
        if matches!(answer, StoreAnswer::Rejected) {
            self.record_rejected(node, generation, sent, &repeat, message_delay);
        }
        if self.random_faults && self.rng.random_bool(0.01) && self.alive(node, generation) {
            // A copy of a call that was already carried out arrives later.
            let delay = self.rng.random_range(100..20_000);
            self.schedule(delay, Event::LateTransaction(repeat));
        }
        self.schedule(
            message_delay,
            Event::Input(
                node,
                generation,
                Input::Store {
                    call: id,
                    sent_at: sent,
                    answer,
                },
            ),
        );
    }

    /// Checks that no node sends a transaction again unchanged once it knows that the transaction is too large.
    pub(super) fn record_rejected(
        &mut self,
        node: usize,
        generation: u32,
        sent: Time,
        call: &rudderreel_core::StoreCall,
        message_delay: u64,
    ) {
        let rudderreel_core::StoreCall::Commit(transaction) = call else {
            return;
        };
        let text = serde_json::to_string(transaction).expect("JSON");
        let answered = Time(self.clock(node).time.0 + message_delay + 1);
        let first = (self.rejected.entry((node, generation, text.clone()))).or_insert(answered);
        assert!(
            sent <= *first,
            "a transaction was sent again after it was rejected as too large: {text}"
        );
    }

    /// Answers a watch if there are changes, and checks it again 20 ms later otherwise.
    pub(super) fn watch(&mut self, node: usize, generation: u32, after: Version, sent: Time) {
        if !self.alive(node, generation) {
            return;
        }
        let cut = self.store.down
            || self.now < self.nodes[node].cut_from_store_until
            || self.now < self.nodes[node].watch_hangs_until;
        if self.random_faults && self.rng.random_bool(0.003) {
            // The revision from which the watch resumes is too old for the store.
            return self.schedule(1, Event::Input(node, generation, Input::WatchLost));
        }
        match (!cut).then(|| self.store.changes_since(after)).flatten() {
            Some(_) if self.watch_times_out(node) => {
                let delay = self.watch_retry_delay(node);
                self.schedule(delay, Event::RetryWatch(node, generation, after))
            }
            Some((revision, events)) => {
                let message_delay = self.message_delay();
                self.schedule(
                    message_delay,
                    Event::Input(
                        node,
                        generation,
                        Input::Watched {
                            sent_at: sent,
                            revision,
                            events,
                        },
                    ),
                );
            }
            None => self.schedule(20, Event::Watch(node, generation, after, sent)),
        }
    }
}

/// Returns whether a node may crash in the middle of a call: in an election, while it raises the epoch, or in a batch
/// of starts.
fn is_crash_point(call: &rudderreel_core::StoreCall) -> bool {
    match call {
        rudderreel_core::StoreCall::Commit(t) => {
            let is_leadership_key = |k: &str| ["pub/leader", "pub/seat", "epoch"].contains(&k);
            t.conditions.iter().any(|c| is_leadership_key(&c.key)) && !t.changes.is_empty()
        }
        rudderreel_core::StoreCall::AcquireLease(_) => true,
        _ => false,
    }
}
