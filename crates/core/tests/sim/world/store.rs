//! A stand-in for the store: keys with versions, transactions, leases, a watch, and limits that it enforces.

use super::rate_limit::RateLimit;
use rudderreel_core::{StoreAnswer, StoreCall, Value};
use rudderreel_wire::ids::{LeaseId, Version};
use rudderreel_wire::state::{Change, Event, Events, Item, Page, Transaction};
use std::collections::BTreeMap;

/// What the store takes. Bursts of a second's worth are allowed.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Requests a second, and changes a second.
    pub rps: u64,
    pub write_rps: u64,
    /// KiB of a value.
    pub value_kb: usize,
    /// Changes of a transaction; four times as many conditions.
    pub operations: usize,
    /// Items of a page.
    pub page: usize,
}

/// What it takes at first.
pub const LIMITS: Limits = Limits {
    rps: 200,
    write_rps: 50,
    value_kb: 16,
    operations: 8,
    // Small pages, so that paging is met.
    page: 10,
};

/// Bytes that the items of a page hold at most, by the protocol.
const PAGE_BYTES: usize = 512 * 1024;

/// The store.
pub struct Store {
    pub limits: Limits,
    /// How many transactions were rejected as too large.
    pub rejected: u32,
    requests: RateLimit,
    writes: RateLimit,
    /// Calls refused for its limits.
    pub limited: u32,
    keys: BTreeMap<String, Item<Value>>,
    log: Vec<(u64, Event<Value>)>,
    leases: BTreeMap<u64, (u64, u64)>,
    revision: u64,
    next_lease: u64,
    pub down: bool,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            limits: LIMITS,
            rejected: 0,
            requests: RateLimit::default(),
            writes: RateLimit::default(),
            limited: 0,
            keys: BTreeMap::new(),
            log: Vec::new(),
            leases: BTreeMap::new(),
            revision: 0,
            next_lease: 0,
            down: false,
        }
    }
}

impl Store {
    /// A store with limits.
    pub fn of(limits: Limits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// How many of some items a page holds: of their number and of their size.
    fn page_of(&self, items: &[Item<Value>]) -> usize {
        let mut bytes = 0;
        let fits = |item: &&Item<Value>| {
            bytes += serde_json::to_vec(&item.value).expect("JSON").len();
            bytes <= PAGE_BYTES
        };
        let first = items.iter().take(self.limits.page);
        first.take_while(fits).count().max(1).min(items.len())
    }

    /// Whether a transaction keeps to the limits of sizes.
    fn takes(&self, transaction: &Transaction<Value>) -> bool {
        let small = |change: &Change<Value>| match change {
            Change::Put { value, .. } => {
                let bytes = serde_json::to_vec(value).expect("JSON").len();
                bytes <= self.limits.value_kb * 1024
            }
            Change::Delete { .. } => true,
        };
        transaction.changes.len() <= self.limits.operations
            && transaction.conditions.len() <= 4 * self.limits.operations
            && transaction.changes.iter().all(small)
    }

    /// Starts or ends an outage; when it ends, every lease has its full time again.
    pub fn set_down(&mut self, down: bool, now: u64) {
        if self.down && !down {
            for (ttl, until) in self.leases.values_mut() {
                *until = now + *ttl;
            }
        }
        self.down = down;
    }

    /// How many keys begin with a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        self.keys
            .keys()
            .filter(|key| key.starts_with(prefix))
            .count()
    }

    /// A number that a key holds.
    pub fn number(&self, key: &str, field: &str) -> u64 {
        let value = self.keys.get(key).map(|item| &item.value[field]);
        value.and_then(Value::as_u64).unwrap_or(0)
    }

    /// Whether a key holds a field that is true.
    pub fn is_set(&self, key: &str, field: &str) -> bool {
        let value = self.keys.get(key).map(|item| &item.value[field]);
        value.and_then(Value::as_bool).unwrap_or(false)
    }

    /// A text that a key holds.
    pub fn text(&self, key: &str, field: &str) -> Option<String> {
        let item = self.keys.get(key)?;
        item.value[field].as_str().map(str::to_string)
    }

    fn expire(&mut self, now: u64) {
        let over: Vec<u64> = (self.leases.iter())
            .filter(|(_, (_, until))| *until <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            self.end(id);
        }
    }

    fn end(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = (self.keys.values())
            .filter(|i| i.lease == Some(LeaseId(id)))
            .map(|i| i.key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(key);
        }
    }

    fn remove(&mut self, key: String) {
        if self.keys.remove(&key).is_some() {
            let version = Version(self.revision);
            self.log
                .push((self.revision, Event::Delete { key, version }));
        }
    }

    /// Sets a key.
    pub fn put(&mut self, key: &str, value: Value) {
        self.revision += 1;
        self.apply(&Change::Put {
            key: key.into(),
            value,
            lease: None,
        });
    }

    /// Changes of the shared prefix after a revision, if there are any.
    pub fn since(&mut self, after: Version) -> Option<(Version, Vec<Event<Value>>)> {
        let shared = |event: &Event<Value>| match event {
            Event::Put { key, .. } | Event::Delete { key, .. } => key.starts_with("pub/"),
        };
        let first = self
            .log
            .partition_point(|(revision, _)| *revision <= after.0);
        let events: Vec<Event<Value>> = (self.log[first..].iter())
            .filter(|(_, event)| shared(event))
            .map(|(_, event)| event.clone())
            .collect();
        (!events.is_empty()).then_some((Version(self.revision), events))
    }

    pub fn call(&mut self, call: &StoreCall, now: u64) -> StoreAnswer {
        if self.down {
            return StoreAnswer::Refused;
        }
        self.expire(now);
        let changes = match call {
            StoreCall::Commit(t) => t.changes.len() as u64,
            _ => 0,
        };
        if let StoreCall::Commit(transaction) = call {
            if !self.takes(transaction) {
                self.rejected += 1;
                return StoreAnswer::Rejected;
            }
        }
        let (rps, write_rps) = (self.limits.rps, self.limits.write_rps);
        if !self.requests.take(1, rps, now) || !self.writes.take(changes, write_rps, now) {
            self.limited += 1;
            return StoreAnswer::Refused;
        }
        match call {
            StoreCall::Get(key) => match self.keys.get(key) {
                Some(item) => StoreAnswer::Found(item.clone()),
                None => StoreAnswer::Missing,
            },
            StoreCall::List(prefix, after) => {
                let later = |key: &String| after.as_ref().is_none_or(|a| key > a);
                let mut items: Vec<Item<Value>> = (self.keys.values())
                    .filter(|i| i.key.starts_with(prefix) && later(&i.key))
                    .take(self.limits.page + 1)
                    .cloned()
                    .collect();
                let page = self.page_of(&items);
                let more = items.len() > page;
                items.truncate(page);
                let revision = Version(self.revision);
                StoreAnswer::Page(Page {
                    items,
                    more,
                    revision,
                })
            }
            StoreCall::Changes(_, after) => {
                let events = self.since(*after).map_or(Vec::new(), |(_, events)| events);
                let revision = Version(self.revision);
                StoreAnswer::Changes(Events { revision, events })
            }
            StoreCall::Commit(t) => {
                let version = |key: &String| self.keys.get(key).map_or(Version(0), |i| i.version);
                let failed: Vec<String> = (t.conditions.iter())
                    .filter(|c| version(&c.key) != c.version)
                    .map(|c| c.key.clone())
                    .collect();
                let dead = t.changes.iter().any(|c| match c {
                    Change::Put { lease, .. } => {
                        lease.is_some_and(|l| !self.leases.contains_key(&l.0))
                    }
                    Change::Delete { .. } => false,
                });
                if dead {
                    return StoreAnswer::NoSuchLease;
                }
                if !failed.is_empty() {
                    return StoreAnswer::Conflict(failed);
                }
                if !t.changes.is_empty() {
                    self.revision += 1;
                }
                for change in &t.changes {
                    self.apply(change);
                }
                StoreAnswer::Committed(Version(self.revision))
            }
            StoreCall::AcquireLease(ttl) => {
                self.next_lease += 1;
                self.leases.insert(self.next_lease, (*ttl, now + ttl));
                StoreAnswer::Lease(LeaseId(self.next_lease))
            }
            StoreCall::Renew(id) => match self.leases.get_mut(&id.0) {
                Some((ttl, until)) => {
                    *until = now + *ttl;
                    StoreAnswer::Done
                }
                None => StoreAnswer::Missing,
            },
            StoreCall::EndLease(id) => {
                self.end(id.0);
                StoreAnswer::Done
            }
        }
    }

    fn apply(&mut self, change: &Change<Value>) {
        let version = Version(self.revision);
        match change {
            Change::Put { key, value, lease } => {
                let (key, value) = (key.clone(), value.clone());
                let event = Event::Put {
                    key: key.clone(),
                    value: value.clone(),
                    version,
                };
                self.log.push((self.revision, event));
                let item = Item {
                    key: key.clone(),
                    value,
                    version,
                    lease: *lease,
                };
                self.keys.insert(key, item);
            }
            Change::Delete { key } => self.remove(key.clone()),
        }
    }
}
