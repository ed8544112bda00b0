//! The state service and the cloud over HTTP, on loopback.

use crate::stores::{Cloud, Limits, Store};
use rudderreel_core::{CloudAnswer, CloudCall, StateAnswer, StateCall, Value};
use rudderreel_wire::ids::{LeaseId, MachineId, Version};
use rudderreel_wire::state::{Committed, Events, Lease, LeaseRequest};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tiny_http::{Method, Request, Response, Server};

/// Threads of a stand-in. Watches hold one each while they wait.
const THREADS: usize = 24;
/// How often a watch looks for changes.
const WATCH_LOOKS: Duration = Duration::from_millis(5);

/// Limits that no test comes near.
const AMPLE: Limits = Limits {
    rps: 10_000,
    write_rps: 5_000,
    value_kb: 32,
    operations: 20,
    page: 200,
};

/// An answer: status and JSON.
type Answer = (u16, String);

/// The services outside, which run until the test ends.
pub struct StandIns {
    store: Mutex<Store>,
    cloud: Mutex<Cloud>,
    started: Instant,
}

/// Where they listen.
pub struct Addresses {
    pub state: SocketAddr,
    pub cloud: SocketAddr,
}

/// Starts both.
pub fn start() -> Addresses {
    let stand_ins = Arc::new(StandIns {
        store: Mutex::new(Store::of(AMPLE)),
        cloud: Mutex::new(Cloud::of(0, (1_000, 1_000), &["a", "b"])),
        started: Instant::now(),
    });
    Addresses {
        state: serve(&stand_ins, StandIns::state_request),
        cloud: serve(&stand_ins, StandIns::cloud_request),
    }
}

/// Serves requests on threads of their own.
fn serve(
    stand_ins: &Arc<StandIns>,
    answer: fn(&StandIns, &Method, &Url, &str) -> Answer,
) -> SocketAddr {
    let server = Arc::new(Server::http("127.0.0.1:0").expect("it listens"));
    let addr = server.server_addr().to_ip().expect("an address");
    for _ in 0..THREADS {
        let (server, stand_ins) = (server.clone(), stand_ins.clone());
        std::thread::spawn(move || {
            while let Ok(mut request) = server.recv() {
                let mut body = String::new();
                if request.as_reader().read_to_string(&mut body).is_err() {
                    continue;
                }
                let url = Url::parse(request.url());
                let (status, text) = answer(&stand_ins, request.method(), &url, &body);
                respond(request, status, text);
            }
        });
    }
    addr
}

fn respond(request: Request, status: u16, text: String) {
    // Whoever asked may have gone.
    let _ = request.respond(Response::from_string(text).with_status_code(status));
}

/// A path and what follows it.
struct Url {
    path: String,
    query: BTreeMap<String, String>,
}

impl Url {
    fn parse(text: &str) -> Self {
        let (path, query) = text.split_once('?').unwrap_or((text, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        Self {
            path: path.into(),
            query: pairs.map(|(k, v)| (k.into(), v.into())).collect(),
        }
    }

    fn number(&self, name: &str) -> u64 {
        (self.query.get(name)).map_or(0, |text| text.parse().expect("a number"))
    }

    fn text(&self, name: &str) -> String {
        self.query.get(name).cloned().unwrap_or_default()
    }
}

fn json<T: Serialize>(status: u16, value: &T) -> Answer {
    (status, serde_json::to_string(value).expect("JSON"))
}

fn read<T: DeserializeOwned>(body: &str) -> T {
    serde_json::from_str(body).expect("a request")
}

impl StandIns {
    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().expect("the store")
    }

    fn state_request(&self, method: &Method, url: &Url, body: &str) -> Answer {
        let parts: Vec<&str> = url.path.split('/').skip(1).collect();
        let call = match (method, parts.as_slice()) {
            (Method::Get, ["changes"]) => return self.watch(url),
            (Method::Get, ["keys"]) => {
                let after = url.query.get("after").cloned();
                StateCall::List(url.text("prefix"), after)
            }
            (Method::Get, ["keys", key @ ..]) => StateCall::Get(key.join("/")),
            (Method::Post, ["commit"]) => StateCall::Commit(read(body)),
            (Method::Post, ["holds"]) => StateCall::NewLease(read::<LeaseRequest>(body).ttl_ms),
            (Method::Post, ["holds", id, "renew"]) => StateCall::Renew(lease_id(id)),
            (Method::Delete, ["holds", id]) => StateCall::EndLease(lease_id(id)),
            _ => panic!("{method} {}", url.path),
        };
        let answer = self.store().call(&call, self.now());
        state_answer(answer)
    }

    /// Waits until something has changed, or the time runs out.
    fn watch(&self, url: &Url) -> Answer {
        let after = Version(url.number("after"));
        let until = Instant::now() + Duration::from_millis(url.number("blockMs"));
        loop {
            let seen = self.store().since(after);
            let (revision, events) = match seen {
                Some(seen) => seen,
                None if Instant::now() >= until => (after, Vec::new()),
                None => {
                    std::thread::sleep(WATCH_LOOKS);
                    continue;
                }
            };
            return json(200, &Events::<Value> { revision, events });
        }
    }

    fn cloud_request(&self, method: &Method, url: &Url, body: &str) -> Answer {
        let call = match (method, url.path.as_str()) {
            (Method::Get, "/catalog") => CloudCall::Catalog,
            (Method::Get, "/rentals") => CloudCall::List(
                url.query
                    .get("after")
                    .map(|id| MachineId::from(id.as_str())),
            ),
            (Method::Post, "/rentals") => CloudCall::Rent(read(body)),
            (Method::Post, "/rentals/return") => CloudCall::Return(read(body)),
            _ => panic!("{method} {}", url.path),
        };
        let now = self.now();
        match self.cloud.lock().expect("the cloud").call(&call, now) {
            CloudAnswer::Catalog(catalog) => json(200, &catalog),
            CloudAnswer::Rented(names) => json(200, &names),
            CloudAnswer::Page(page) => json(200, &page),
            CloudAnswer::Returned => (200, "{}".into()),
            CloudAnswer::NoCapacity => (503, "{\"error\":\"no capacity\"}".into()),
            CloudAnswer::Rejected => (400, "{}".into()),
            CloudAnswer::Refused | CloudAnswer::Unknown => (503, "{}".into()),
        }
    }
}

fn lease_id(text: &str) -> LeaseId {
    LeaseId(text.parse().expect("a lease"))
}

fn state_answer(answer: StateAnswer) -> Answer {
    let no_such_lease = || (400, "{\"error\":\"no such lease\"}".to_string());
    match answer {
        StateAnswer::Found(item) => json(200, &item),
        StateAnswer::Missing => (404, "{\"logline\":0}".into()),
        StateAnswer::Page(page) => json(200, &page),
        StateAnswer::Committed(revision) => {
            let failed = Vec::new();
            json(200, &Committed { revision, failed })
        }
        StateAnswer::Conflict(failed) => {
            let revision = Version(0);
            json(409, &Committed { revision, failed })
        }
        StateAnswer::Lease(lease) => json(200, &Lease { lease }),
        StateAnswer::Done => (200, "{}".into()),
        StateAnswer::NoSuchLease => no_such_lease(),
        StateAnswer::Rejected => (400, "{\"error\":\"too large\"}".into()),
        StateAnswer::Refused | StateAnswer::Unknown => (503, "{}".into()),
    }
}
