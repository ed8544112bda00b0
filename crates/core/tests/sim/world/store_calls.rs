//! Calls of nodes to the store, which may be lost, late, or answered without being known.

use super::*;

impl World {
    pub(super) fn call_store(
        &mut self,
        node: usize,
        life: u32,
        id: CallId,
        sent: Time,
        call: rudderreel_core::StoreCall,
    ) {
        let mut hop = self.hop();
        if self.now < self.state_slow_until {
            hop += self.rng.random_range(60..400);
        }
        let cut = self.now < self.nodes[node].cut_from_store_until;
        let repeat = call.clone();
        if self.random_faults
            && self.alive(node, life)
            && is_delicate(&call)
            && self.rng.random_bool(0.04)
        {
            // It ends in the middle of an election, of bumping the epoch or of a batch of starts;
            // what it asked for is carried out now, later or never.
            if self.rng.random_bool(0.7) {
                let delay = self.rng.random_range(0..3_000);
                self.after(delay, Event::LateTransaction(call));
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
                self.after(delay, Event::LateTransaction(call));
            }
            let input = Input::Store {
                call: id,
                sent_at: sent,
                answer: StoreAnswer::Unknown,
            };
            return self.after(1_200, Event::Input(node, life, input));
        } else if self.random_faults && self.rng.random_bool(0.01) {
            // The answer is lost; the call may be carried out, now, later or never.
            let delay = self.rng.random_range(0..8_000);
            if self.rng.random_bool(0.7) {
                self.after(delay, Event::LateTransaction(call));
            }
            self.after(
                1_000,
                Event::Input(
                    node,
                    life,
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
        if matches!(answer, StoreAnswer::Rejected) {
            self.note_rejected(node, life, sent, &repeat, hop);
        }
        if self.random_faults && self.rng.random_bool(0.01) && self.alive(node, life) {
            // A repeat of a request that was carried out.
            let delay = self.rng.random_range(100..20_000);
            self.after(delay, Event::LateTransaction(repeat));
        }
        self.after(
            hop,
            Event::Input(
                node,
                life,
                Input::Store {
                    call: id,
                    sent_at: sent,
                    answer,
                },
            ),
        );
    }

    /// No node sends a transaction again unchanged once it knows that it is too large.
    pub(super) fn note_rejected(
        &mut self,
        node: usize,
        life: u32,
        sent: Time,
        call: &rudderreel_core::StoreCall,
        hop: u64,
    ) {
        let rudderreel_core::StoreCall::Commit(transaction) = call else {
            return;
        };
        let text = serde_json::to_string(transaction).expect("JSON");
        let answered = Time(self.clock(node).time.0 + hop + 1);
        let first = (self.rejected.entry((node, life, text.clone()))).or_insert(answered);
        assert!(sent <= *first, "sent again though it was rejected: {text}");
    }

    pub(super) fn watch(&mut self, node: usize, life: u32, after: Version, sent: Time) {
        if !self.alive(node, life) {
            return;
        }
        let cut = self.store.down
            || self.now < self.nodes[node].cut_from_store_until
            || self.now < self.nodes[node].watch_hangs_until;
        if self.random_faults && self.rng.random_bool(0.003) {
            // Its place is too old for the service.
            return self.after(1, Event::Input(node, life, Input::WatchLost));
        }
        match (!cut).then(|| self.store.since(after)).flatten() {
            Some(_) if self.watch_runs_out(node) => {
                let delay = self.watch_retry_delay(node);
                self.after(delay, Event::RetryWatch(node, life, after))
            }
            Some((revision, events)) => {
                let hop = self.hop();
                self.after(
                    hop,
                    Event::Input(
                        node,
                        life,
                        Input::Watched {
                            sent_at: sent,
                            revision,
                            events,
                        },
                    ),
                );
            }
            None => self.after(20, Event::Watch(node, life, after, sent)),
        }
    }
}

/// Commits that a node may end in the middle of: of an election, of bumping the epoch, of starts.
fn is_delicate(call: &rudderreel_core::StoreCall) -> bool {
    match call {
        rudderreel_core::StoreCall::Commit(t) => {
            let leads = |k: &str| ["pub/leader", "pub/seat", "epoch"].contains(&k);
            t.conditions.iter().any(|c| leads(&c.key)) && !t.changes.is_empty()
        }
        rudderreel_core::StoreCall::AcquireLease(_) => true,
        _ => false,
    }
}
