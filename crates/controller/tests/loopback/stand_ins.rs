//! Serves the stand-ins for the store and the cloud over HTTP on loopback, and starts the agents of rented machines.

use crate::agents::{LoopbackAgent, Shared};
use crate::cloud::{Cloud, OfferedType};
use crate::store::{Limits, Store};
use rudderreel_core::{CloudAnswer, CloudCall, StoreAnswer, StoreCall, Value};
use rudderreel_wire::ids::{LeaseId, MachineId, Version};
use rudderreel_wire::state::{Events, Lease, LeaseRequest, TransactionReply};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tiny_http::{Method, Request, Response, Server};

/// Number of threads that serve each address. A watch occupies one of them while it waits.
const SERVER_THREADS: usize = 24;
/// Interval at which a watch checks for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Interval at which threads check whether the test has ended, and whether machines have booted.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest and longest boot time of machines, in ms.
const BOOT_MS: (u64, u64) = (200, 500);

/// Limits of the store that no test reaches.
const GENEROUS_LIMITS: Limits = Limits {
    rps: 10_000,
    write_rps: 5_000,
    value_kb: 32,
    operations: 20,
    page: 200,
};

/// An HTTP status and a JSON body.
type Answer = (u16, String);

/// The stand-ins for the store and the cloud, and the agents of rented machines. All run until the test ends.
pub struct StandIns {
    store: Mutex<Store>,
    cloud: Mutex<Cloud>,
    started: Instant,
    agents: Mutex<BTreeMap<MachineId, Arc<LoopbackAgent>>>,
    shared: Arc<Shared>,
    /// For each controller, whether the store refuses its requests.
    refused_controllers: Vec<AtomicBool>,
    finished: AtomicBool,
}

/// The stand-ins and their addresses. The stand-ins and the agents are ended when this is dropped.
pub struct ExternalServices {
    stand_ins: Arc<StandIns>,
    /// Addresses of the store, one for each controller, so that the store knows which controller sends a request.
    pub store_addresses: Vec<SocketAddr>,
    pub cloud_address: SocketAddr,
}

impl ExternalServices {
    /// Starts the stand-ins for a number of controllers. The cloud rents out at most `machines` machines at a time.
    pub fn start(controllers: usize, machines: usize, shared: Arc<Shared>) -> Self {
        let stand_ins = Arc::new(StandIns {
            store: Mutex::new(Store::with_limits(GENEROUS_LIMITS)),
            cloud: Mutex::new(Cloud::new(
                BOOT_MS,
                vec![OfferedType::without_gpus(machines, &["a", "b"])],
            )),
            started: Instant::now(),
            agents: Mutex::default(),
            shared,
            refused_controllers: (0..controllers).map(|_| AtomicBool::new(false)).collect(),
            finished: AtomicBool::new(false),
        });
        let store_addresses = (0..controllers)
            .map(|n| serve(&stand_ins, move |s, m, u, b| s.store_request(n, m, u, b)))
            .collect();
        let cloud_address = serve(&stand_ins, StandIns::cloud_request);
        let booter = stand_ins.clone();
        std::thread::spawn(move || booter.boot_machines());
        Self {
            stand_ins,
            store_addresses,
            cloud_address,
        }
    }

    /// Sets whether the store refuses a controller's requests from now on.
    pub fn set_store_refusal(&self, controller: usize, refused: bool) {
        self.stand_ins.refused_controllers[controller].store(refused, Ordering::SeqCst);
    }

    /// Returns the name of the leader that the store records.
    pub fn leader(&self) -> Option<String> {
        let store = self.stand_ins.store();
        store.text_field("pub/leader", "node")
    }
}

impl Drop for ExternalServices {
    fn drop(&mut self) {
        self.stand_ins.finished.store(true, Ordering::SeqCst);
        let agents = self.stand_ins.agents.lock().expect("the agents");
        agents.values().for_each(|agent| agent.terminate());
    }
}

/// Answers requests at an address of its own, on `SERVER_THREADS` threads, until the test ends. Returns the address.
fn serve(
    stand_ins: &Arc<StandIns>,
    answer: impl Fn(&StandIns, &Method, &Url, &str) -> Answer + Clone + Send + 'static,
) -> SocketAddr {
    let server = Arc::new(Server::http("127.0.0.1:0").expect("the stand-in listens"));
    let addr = server.server_addr().to_ip().expect("an address");
    for _ in 0..SERVER_THREADS {
        let (server, stand_ins, answer) = (server.clone(), stand_ins.clone(), answer.clone());
        std::thread::spawn(move || {
            while !stand_ins.is_finished() {
                let Ok(Some(mut request)) = server.recv_timeout(POLL_INTERVAL) else {
                    continue;
                };
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
    // The client may have closed the connection.
    let _ = request.respond(Response::from_string(text).with_status_code(status));
}

/// Path and query of a request.
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

fn parse_body<T: DeserializeOwned>(body: &str) -> T {
    serde_json::from_str(body).expect("a request")
}

impl StandIns {
    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().expect("the store")
    }

    fn is_finished(&self) -> bool {
        self.finished.load(Ordering::SeqCst)
    }

    fn is_refused(&self, controller: usize) -> bool {
        self.refused_controllers[controller].load(Ordering::SeqCst)
    }

    fn store_request(&self, controller: usize, method: &Method, url: &Url, body: &str) -> Answer {
        if self.is_refused(controller) {
            return (503, "{}".into());
        }
        let parts: Vec<&str> = url.path.split('/').skip(1).collect();
        let call = match (method, parts.as_slice()) {
            (Method::Get, ["changes"]) => return self.watch(controller, url),
            (Method::Get, ["keys"]) => {
                let after = url.query.get("after").cloned();
                StoreCall::List(url.text("prefix"), after)
            }
            (Method::Get, ["keys", key @ ..]) => StoreCall::Get(key.join("/")),
            (Method::Post, ["commit"]) => StoreCall::Commit(parse_body(body)),
            (Method::Post, ["holds"]) => {
                StoreCall::AcquireLease(parse_body::<LeaseRequest>(body).ttl_ms)
            }
            (Method::Post, ["holds", id, "renew"]) => StoreCall::RenewLease(lease_id(id)),
            (Method::Delete, ["holds", id]) => StoreCall::EndLease(lease_id(id)),
            _ => panic!("unexpected request: {method} {}", url.path),
        };
        let answer = self.store().call(&call, self.now());
        store_answer(answer)
    }

    /// Answers a watch as soon as there are changes, or without any once the time that it may wait has passed. A
    /// refused controller receives no changes.
    fn watch(&self, controller: usize, url: &Url) -> Answer {
        let after = Version(url.number("after"));
        let block_ms = (url.query.get("blockMs")).map_or(0, |_| url.number("blockMs"));
        let until = Instant::now() + Duration::from_millis(block_ms);
        loop {
            let refused = self.is_refused(controller);
            let changes = if refused {
                None
            } else {
                self.store().changes_since(after)
            };
            let (revision, events) = match changes {
                Some(changes) => changes,
                None if Instant::now() >= until => (after, Vec::new()),
                None => {
                    std::thread::sleep(WATCH_POLL_INTERVAL);
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
            (Method::Post, "/rentals") => CloudCall::ScaleOut(parse_body(body)),
            (Method::Post, "/rentals/return") => CloudCall::ScaleIn(parse_body(body)),
            _ => panic!("unexpected request: {method} {}", url.path),
        };
        let answer = {
            let mut cloud = self.cloud.lock().expect("the cloud");
            let answer = cloud.call(&call, self.now());
            // Returned machines and everything on them must be gone by the time of the answer.
            for id in cloud.take_returned() {
                if let Some(agent) = self.agents.lock().expect("the agents").remove(&id) {
                    agent.terminate();
                }
            }
            answer
        };
        match answer {
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

impl StandIns {
    /// Starts the agent of each machine that has booted, until the test ends.
    fn boot_machines(&self) {
        while !self.is_finished() {
            {
                let mut cloud = self.cloud.lock().expect("the cloud");
                for (id, scale_out) in cloud.take_booted(self.now()) {
                    let agent = LoopbackAgent::start(id.clone(), scale_out, self.shared.clone());
                    let mut agents = self.agents.lock().expect("the agents");
                    agents.insert(id, agent);
                }
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

fn lease_id(text: &str) -> LeaseId {
    LeaseId(text.parse().expect("a lease"))
}

fn store_answer(answer: StoreAnswer) -> Answer {
    let no_such_lease = || (400, "{\"error\":\"no such lease\"}".to_string());
    match answer {
        StoreAnswer::Found(item) => json(200, &item),
        StoreAnswer::Missing => (404, "{\"logline\":0}".into()),
        StoreAnswer::Page(page) => json(200, &page),
        StoreAnswer::Changes(changes) => json(200, &changes),
        StoreAnswer::Committed(revision) => {
            let failed = Vec::new();
            json(200, &TransactionReply { revision, failed })
        }
        StoreAnswer::Conflict(failed) => {
            let revision = Version(0);
            json(409, &TransactionReply { revision, failed })
        }
        StoreAnswer::Lease(lease) => json(200, &Lease { lease }),
        StoreAnswer::Done => (200, "{}".into()),
        StoreAnswer::NoSuchLease => no_such_lease(),
        StoreAnswer::Rejected => (400, "{\"error\":\"too large\"}".into()),
        StoreAnswer::Refused | StoreAnswer::Unknown => (503, "{}".into()),
    }
}
