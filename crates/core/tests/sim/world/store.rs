//! A stand-in for the store: versioned keys, transactions, leases, a watch, and limits that it enforces.

use super::rate_limit::RateLimit;
use rudderreel_core::{StoreAnswer, StoreCall, Value};
use rudderreel_wire::ids::{LeaseId, Version};
use rudderreel_wire::state::{Change, Event, Events, Item, Page, Transaction};
use std::collections::BTreeMap;

/// Limits of the store. Bursts of one second's worth of requests are allowed.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of requests per second.
    pub rps: u64,
    /// Maximum number of changes per second.
    pub write_rps: u64,
    /// Maximum size of a value, in KiB.
    pub value_kb: usize,
    /// Maximum number of changes in a transaction; it may have four times as many conditions.
    pub operations: usize,
    /// Maximum number of items on a page.
    pub page: usize,
}

/// Limits that the store enforces unless a scenario sets others.
pub const DEFAULT_LIMITS: Limits = Limits {
    rps: 200,
    write_rps: 50,
    value_kb: 16,
    operations: 8,
    // Small pages, so that runs exercise paging.
    page: 10,
};

/// Maximum total size of the items on a page in bytes, by the protocol.
const MAX_PAGE_BYTES: usize = 512 * 1024;

/// A simulated store.
pub struct Store {
    pub limits: Limits,
    /// Number of transactions that were rejected as too large.
    pub rejected: u32,
    requests: RateLimit,
    writes: RateLimit,
    /// Number of calls that were refused because of the rate limits.
    pub rate_limited: u32,
    keys: BTreeMap<String, Item<Value>>,
    /// All changes so far, each with its revision.
    log: Vec<(u64, Event<Value>)>,
    /// Time to live and end of each lease, in milliseconds.
    leases: BTreeMap<u64, (u64, u64)>,
    revision: u64,
    next_lease: u64,
    /// Whether the store refuses all calls.
    pub down: bool,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            limits: DEFAULT_LIMITS,
            rejected: 0,
            requests: RateLimit::default(),
            writes: RateLimit::default(),
            rate_limited: 0,
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
    /// Creates an empty store with these limits.
    pub fn with_limits(limits: Limits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Returns how many of the items fit on a page by their number and their size: at least one if there are any.
    fn count_fitting_on_page(&self, items: &[Item<Value>]) -> usize {
        let mut bytes = 0;
        let fits = |item: &&Item<Value>| {
            bytes += serde_json::to_vec(&item.value).expect("JSON").len();
            bytes <= MAX_PAGE_BYTES
        };
        let first = items.iter().take(self.limits.page);
        first.take_while(fits).count().max(1).min(items.len())
    }

    /// Returns whether a transaction is within the limits of its size and of the size of its values.
    fn is_within_size_limits(&self, transaction: &Transaction<Value>) -> bool {
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

    /// Starts or ends an outage. When an outage ends, every lease is renewed for its full time.
    pub fn set_down(&mut self, down: bool, now: u64) {
        if self.down && !down {
            for (ttl, until) in self.leases.values_mut() {
                *until = now + *ttl;
            }
        }
        self.down = down;
    }

    /// Returns the number of keys that begin with a prefix.
    pub fn count_keys(&self, prefix: &str) -> usize {
        self.keys
            .keys()
            .filter(|key| key.starts_with(prefix))
            .count()
    }

    /// Returns a numeric field of a key's value; 0 if it is missing.
    pub fn number_field(&self, key: &str, field: &str) -> u64 {
        let value = self.keys.get(key).map(|item| &item.value[field]);
        value.and_then(Value::as_u64).unwrap_or(0)
    }

    /// Returns whether a field of a key's value is true.
    pub fn bool_field(&self, key: &str, field: &str) -> bool {
        let value = self.keys.get(key).map(|item| &item.value[field]);
        value.and_then(Value::as_bool).unwrap_or(false)
    }

    /// Returns a text field of a key's value, if there is one.
    pub fn text_field(&self, key: &str, field: &str) -> Option<String> {
        let item = self.keys.get(key)?;
        item.value[field].as_str().map(str::to_string)
    }

    fn expire_leases(&mut self, now: u64) {
        let expired: Vec<u64> = (self.leases.iter())
            .filter(|(_, (_, until))| *until <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.end_lease(id);
        }
    }

    /// Ends all leases.
    pub fn end_all_leases(&mut self) {
        let ids: Vec<u64> = self.leases.keys().copied().collect();
        ids.into_iter().for_each(|id| self.end_lease(id));
    }

    fn end_lease(&mut self, id: u64) {
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

    /// Sets a key without conditions and without a lease.
    pub fn put(&mut self, key: &str, value: Value) {
        self.revision += 1;
        self.apply(&Change::Put {
            key: key.into(),
            value,
            lease: None,
        });
    }

    /// Returns the changes below the prefix `pub/` after a revision, and the current revision, if there are any.
    pub fn changes_since(&mut self, after: Version) -> Option<(Version, Vec<Event<Value>>)> {
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
        self.expire_leases(now);
        let changes = match call {
            StoreCall::Commit(t) => t.changes.len() as u64,
            _ => 0,
        };
        if let StoreCall::Commit(transaction) = call {
            if !self.is_within_size_limits(transaction) {
                self.rejected += 1;
                return StoreAnswer::Rejected;
            }
        }
        let (rps, write_rps) = (self.limits.rps, self.limits.write_rps);
        if !self.requests.try_take(1, rps, now) || !self.writes.try_take(changes, write_rps, now) {
            self.rate_limited += 1;
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
                let page = self.count_fitting_on_page(&items);
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
                let events = self
                    .changes_since(*after)
                    .map_or(Vec::new(), |(_, events)| events);
                let revision = Version(self.revision);
                StoreAnswer::Changes(Events { revision, events })
            }
            StoreCall::Commit(t) => {
                let version = |key: &String| self.keys.get(key).map_or(Version(0), |i| i.version);
                let failed: Vec<String> = (t.conditions.iter())
                    .filter(|c| version(&c.key) != c.version)
                    .map(|c| c.key.clone())
                    .collect();
                let lease_ended = t.changes.iter().any(|c| match c {
                    Change::Put { lease, .. } => {
                        lease.is_some_and(|l| !self.leases.contains_key(&l.0))
                    }
                    Change::Delete { .. } => false,
                });
                if lease_ended {
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
            StoreCall::RenewLease(id) => match self.leases.get_mut(&id.0) {
                Some((ttl, until)) => {
                    *until = now + *ttl;
                    StoreAnswer::Done
                }
                None => StoreAnswer::Missing,
            },
            StoreCall::EndLease(id) => {
                self.end_lease(id.0);
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
