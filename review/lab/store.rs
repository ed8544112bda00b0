//! A stand-in for the state service, as PROTOCOL describes it: versions, transactions, leases, a watch, rate limits.

use crate::http::{Reply, Req};
use crate::json::{num, obj, st, J};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone, Copy)]
pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_bytes: usize,
    pub txn_ops: usize,
}

struct Entry {
    data: J,
    stamp: u64,
    lease: Option<u64>,
}

struct State {
    keys: BTreeMap<String, Entry>,
    log: VecDeque<(u64, String, Option<J>)>,
    leases: HashMap<u64, (Duration, Instant)>,
    revision: u64,
    next_lease: u64,
    requests: (f64, Instant),
    writes: (f64, Instant),
    limited: u64,
}

pub struct Store {
    limits: Limits,
    state: Mutex<State>,
    changed: Condvar,
}

fn take(bucket: &mut (f64, Instant), rate: f64, n: f64) -> bool {
    let now = Instant::now();
    bucket.0 = (bucket.0 + (now - bucket.1).as_secs_f64() * rate).min(rate);
    bucket.1 = now;
    let ok = bucket.0 >= n;
    if ok {
        bucket.0 -= n;
    }
    ok
}

impl State {
    fn log(&mut self, key: &str, data: Option<J>) {
        self.log.push_back((self.revision, key.to_string(), data));
        while self.log.len() > 10_000 {
            self.log.pop_front();
        }
    }
    fn end_lease(&mut self, id: u64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let keys: Vec<String> = (self.keys.iter())
            .filter(|(_, e)| e.lease == Some(id))
            .map(|(k, _)| k.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.keys.remove(&key);
            self.log(&key, None);
        }
        true
    }
    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let over: Vec<u64> = (self.leases.iter())
            .filter(|(_, (_, until))| *until <= now)
            .map(|(id, _)| *id)
            .collect();
        over.into_iter().fold(false, |any, id| self.end_lease(id) || any)
    }
}

impl Store {
    pub fn new(limits: Limits) -> Self {
        let now = Instant::now();
        Self {
            limits,
            changed: Condvar::new(),
            state: Mutex::new(State {
                keys: BTreeMap::new(),
                log: VecDeque::new(),
                leases: HashMap::new(),
                revision: 0,
                next_lease: 0,
                requests: (limits.rps, now),
                writes: (limits.write_rps, now),
                limited: 0,
            }),
        }
    }

    /// Ends leases that have run out; called often.
    pub fn tick(&self) {
        if self.state.lock().unwrap().expire() {
            self.changed.notify_all();
        }
    }

    pub fn limited(&self) -> u64 {
        self.state.lock().unwrap().limited
    }

    pub fn handle(&self, req: &Req) -> Reply {
        let mut s = self.state.lock().unwrap();
        if s.expire() {
            self.changed.notify_all();
        }
        if !take(&mut s.requests, self.limits.rps, 1.0) {
            s.limited += 1;
            return Reply::Json(429, "{}".into());
        }
        let parts: Vec<&str> = req.path.trim_start_matches('/').split('/').collect();
        match (req.method.as_str(), parts.as_slice()) {
            ("GET", ["changes"]) => {
                drop(s);
                self.watch(req)
            }
            ("GET", ["keys"]) => list(&s, req),
            ("GET", ["keys", ..]) => {
                let key = &req.path["/keys/".len()..];
                match s.keys.get(key) {
                    Some(e) => Reply::Json(200, item(key, e).text()),
                    None => Reply::Json(404, obj(vec![("logline", num(s.revision))]).text()),
                }
            }
            ("POST", ["commit"]) => {
                let reply = self.commit(&mut s, req);
                self.changed.notify_all();
                reply
            }
            ("POST", ["holds"]) => {
                let ttl = J::parse(&req.body).and_then(|b| b.get("ttlMs").u64()).unwrap_or(0);
                if !(100..=600_000).contains(&ttl) {
                    return Reply::Json(400, "{}".into());
                }
                s.next_lease += 1;
                let (id, ttl) = (s.next_lease, Duration::from_millis(ttl));
                s.leases.insert(id, (ttl, Instant::now() + ttl));
                Reply::Json(200, obj(vec![("mooring", num(id))]).text())
            }
            ("POST", ["holds", id, "renew"]) => {
                let id: u64 = id.parse().unwrap_or(0);
                match s.leases.get_mut(&id) {
                    Some((ttl, until)) => {
                        *until = Instant::now() + *ttl;
                        Reply::Json(200, "{}".into())
                    }
                    None => Reply::Json(404, "{}".into()),
                }
            }
            ("DELETE", ["holds", id]) => {
                let ended = s.end_lease(id.parse().unwrap_or(0));
                self.changed.notify_all();
                Reply::Json(if ended { 200 } else { 404 }, "{}".into())
            }
            _ => Reply::Json(400, "{}".into()),
        }
    }

    fn commit(&self, s: &mut State, req: &Req) -> Reply {
        let bad = |why: &str| Reply::Json(400, obj(vec![("error", st(why))]).text());
        let Some(body) = J::parse(&req.body) else {
            return bad("not JSON");
        };
        let (conditions, changes) = (body.get("if").arr(), body.get("apply").arr());
        let big = |c: &J| c.get("data").text().len() > self.limits.value_bytes;
        if changes.len() > self.limits.txn_ops
            || conditions.len() > 4 * self.limits.txn_ops
            || req.body.len() > 64 * 1024
            || changes.iter().any(big)
        {
            return bad("too large");
        }
        if !take(&mut s.writes, self.limits.write_rps, changes.len() as f64) {
            s.limited += 1;
            return Reply::Json(429, "{}".into());
        }
        let lost = |c: &J| c.get("mooring").u64().is_some_and(|l| !s.leases.contains_key(&l));
        if changes.iter().any(lost) {
            return bad("no such lease");
        }
        let failed: Vec<J> = (conditions.iter())
            .filter(|c| {
                let stamp = s.keys.get(c.get("key").str()).map_or(0, |e| e.stamp);
                Some(stamp) != c.get("stamp").u64()
            })
            .map(|c| c.get("key").clone())
            .collect();
        if !failed.is_empty() {
            let reply = obj(vec![("failed", J::Arr(failed)), ("logline", num(s.revision))]);
            return Reply::Json(409, reply.text());
        }
        if !changes.is_empty() {
            s.revision += 1;
        }
        for c in changes {
            if let J::Str(key) = c.get("delete") {
                if s.keys.remove(key).is_some() {
                    s.log(key, None);
                }
                continue;
            }
            let key = c.get("set").str().to_string();
            let (data, stamp) = (c.get("data").clone(), s.revision);
            let lease = c.get("mooring").u64();
            s.log(&key, Some(data.clone()));
            s.keys.insert(key, Entry { data, stamp, lease });
        }
        Reply::Json(200, obj(vec![("logline", num(s.revision))]).text())
    }

    fn watch(&self, req: &Req) -> Reply {
        let number = |k: &str| req.query.get(k).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let (after, prefix) = (number("after"), req.query.get("prefix").cloned().unwrap_or_default());
        let until = Instant::now() + Duration::from_millis(number("blockMs").min(60_000));
        let mut s = self.state.lock().unwrap();
        loop {
            if s.log.len() >= 10_000 && s.log.front().is_some_and(|(r, ..)| *r > after + 1) {
                return Reply::Json(410, "{}".into());
            }
            let from = s.log.partition_point(|(r, ..)| *r <= after);
            let events: Vec<J> = (s.log.range(from..))
                .filter(|(_, k, _)| k.starts_with(&prefix))
                .map(|(r, k, data)| match data {
                    Some(d) => obj(vec![("set", st(k)), ("data", d.clone()), ("stamp", num(r))]),
                    None => obj(vec![("delete", st(k)), ("stamp", num(r))]),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let reply = obj(vec![("logline", num(s.revision)), ("log", J::Arr(events))]);
                return Reply::Json(200, reply.text());
            }
            s = self.changed.wait_timeout(s, until - now).unwrap().0;
        }
    }
}

fn item(key: &str, e: &Entry) -> J {
    let mut fields = vec![("key", st(key)), ("data", e.data.clone()), ("stamp", num(e.stamp))];
    if let Some(lease) = e.lease {
        fields.push(("mooring", num(lease)));
    }
    obj(fields)
}

fn list(s: &State, req: &Req) -> Reply {
    let prefix = req.query.get("prefix").cloned().unwrap_or_default();
    let after = req.query.get("after").cloned().unwrap_or_default();
    let most = req.query.get("most").and_then(|v| v.parse().ok()).unwrap_or(1_000).clamp(1, 1_000);
    let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
    for (k, e) in s.keys.iter().filter(|(k, _)| k.starts_with(&prefix) && **k > after) {
        let one = item(k, e);
        bytes += one.text().len();
        if items.len() >= most || (bytes > 500 * 1024 && !items.is_empty()) {
            more = true;
            break;
        }
        items.push(one);
    }
    let reply = obj(vec![
        ("entries", J::Arr(items)),
        ("hasNext", J::Bool(more)),
        ("logline", num(s.revision)),
    ]);
    Reply::Json(200, reply.text())
}
