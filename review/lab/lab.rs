//! A deployment on loopback: real controllers behind links that can be cut, and stand-ins for the state service, the
//! cloud, the workers and the users. What is sent, answered and run goes to the record.

use crate::http::{call, listen, serve, Link, Reply, Req};
use crate::json::{num, obj, st, J};
use crate::store::{Limits, Store};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const MAX_BYTES: usize = 64 * 1024;

#[derive(Clone)]
pub struct Hull {
    pub name: &'static str,
    pub cpus: f64,
    pub gpus: f64,
    pub memory: f64,
    pub rate: f64,
    pub spot_rate: f64,
    pub startup_s: f64,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    pub berths: &'static [&'static str],
}

/// The machine types of the site prairie-preview-reels.
pub fn prairie_hulls() -> Vec<Hull> {
    let both: &[&str] = &["assiniboia", "qu-appelle"];
    let hull = |name, cpus, gpus, memory, rate, spot_rate, startup_s, (cache_gb, fetch_gb_per_s), berths| Hull {
        name,
        cpus,
        gpus,
        memory,
        rate,
        spot_rate,
        startup_s,
        cache_gb,
        fetch_gb_per_s,
        berths,
    };
    vec![
        hull("wren", 4.0, 0.0, 16.0, 0.23, 0.06, 30.0, (70.0, 0.5), &["assiniboia"]),
        hull("magpie", 16.0, 0.0, 128.0, 1.29, 0.29, 40.0, (50.0, 0.6), both),
        hull("heron", 32.0, 0.0, 128.0, 1.97, 0.5, 40.0, (80.0, 1.0), both),
        hull("pelican", 48.0, 8.0, 384.0, 25.53, 5.72, 35.0, (90.0, 1.0), both),
    ]
}

pub struct Site {
    pub settings: Settings,
    pub nodes: usize,
    pub zones: &'static [&'static str],
    pub hulls: Vec<Hull>,
    /// Machines to be had, by type, zone and whether they are cheap.
    pub capacity: Vec<(&'static str, &'static str, bool, usize)>,
    pub boot_ms: u64,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
}

impl Site {
    /// The site prairie-preview-reels: its own numbers, but machines are up within a second or two.
    pub fn prairie(capacity: Vec<(&'static str, &'static str, bool, usize)>) -> Self {
        Self {
            settings: Settings {
                params: prairie_params,
                gang_wait_s: 35.0,
                state: Limits { rps: 250.0, write_rps: 25.0, value_bytes: 32 * 1024, txn_ops: 20 },
            },
            nodes: 3,
            zones: &["assiniboia", "qu-appelle"],
            hulls: prairie_hulls(),
            capacity,
            boot_ms: 1_200,
            report_s: 2.5,
            lease_s: 12.0,
            cancel_s: 37.0,
        }
    }

    /// The site herbstzeit-matching: its own numbers, but machines are up within a second or two.
    pub fn herbstzeit(capacity: Vec<(&'static str, &'static str, bool, usize)>) -> Self {
        Self {
            settings: Settings {
                params: herbstzeit_params,
                gang_wait_s: 35.0,
                state: Limits { rps: 100.0, write_rps: 30.0, value_bytes: 16 * 1024, txn_ops: 24 },
            },
            nodes: 3,
            zones: &["mur", "enns", "traun"],
            hulls: vec![Hull {
                name: "gams",
                cpus: 8.0,
                gpus: 0.0,
                memory: 16.0,
                rate: 0.33,
                spot_rate: 0.08,
                startup_s: 35.0,
                cache_gb: 60.0,
                fetch_gb_per_s: 0.2,
                berths: &["mur", "enns", "traun"],
            }],
            capacity,
            boot_ms: 1_200,
            report_s: 1.5,
            lease_s: 12.0,
            cancel_s: 42.0,
        }
    }
}

fn prairie_params() -> String {
    let mut t = String::new();
    for n in 0..10 {
        t += &format!(
            "[[params.teams]]\nname = \"catalogue-ops-{n:02}\"\ncpus = 43.0\ncpus_max = 160.0\ngpus = 8.0\ngpus_max = 24.0\n\n"
        );
    }
    // The guest team without a guarantee.
    t += "[[params.teams]]\nname = \"licensing-desk\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n\n";
    for (kind, class, within, share) in [
        ("wait", "storefront", 1.0, 0.95),
        ("finished", "waveforms", 200.0, 0.8),
        ("finished", "waveforms", 300.0, 0.95),
        ("wait", "moodtrain", 40.0, 0.75),
        ("finished", "moodtrain", 300.0, 0.85),
    ] {
        t += &format!(
            "[[params.objectives]]\nkind = \"{kind}\"\nclass = \"{class}\"\nwithin_s = {within:.1}\nshare = {share}\n\n"
        );
    }
    t += "[params.state]\nrps = 250.0\nwrite_rps = 25.0\nvalue_kb = 32.0\ntxn_ops = 20\n\n\
        [params.cloud]\nrps = 4.0\nlist_lag_s = 10.0\n\n\
        [params.machine_limits]\ncore_share = 0.064\nmemory_mb = 104.0\nfd_limit = 1800\n\n";
    t
}

fn herbstzeit_params() -> String {
    "[[params.teams]]\nname = \"partnerteam\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n\n\
        [[params.objectives]]\nkind = \"wait\"\nclass = \"memberweb\"\nwithin_s = 4.0\nshare = 0.92\n\n\
        [params.state]\nrps = 100.0\nwrite_rps = 30.0\nvalue_kb = 16.0\ntxn_ops = 24\n\n\
        [params.cloud]\nrps = 6.0\nlist_lag_s = 4.0\n\n\
        [params.machine_limits]\ncore_share = 0.064\nmemory_mb = 72.0\nfd_limit = 1200\n\n"
        .into()
}

/// What the settings file holds besides addresses, as in the site's page.
#[derive(Clone, Copy)]
pub struct Settings {
    /// Teams, objectives, and the limits of the state service, the cloud and the controller's machine, as TOML.
    pub params: fn() -> String,
    pub gang_wait_s: f64,
    pub state: Limits,
}

/// What happened on a machine, by the lab's clock.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: f64,
    pub kind: &'static str,
    pub task: String,
    pub machine: String,
}

pub struct Lab {
    pub site: Site,
    pub started: Instant,
    pub ended: Arc<AtomicBool>,
    record: Mutex<std::fs::File>,
    pub store: Arc<Store>,
    pub cloud: Mutex<Cloud>,
    pub jobs: Mutex<HashMap<String, (J, f64)>>,
    pub events: Mutex<Vec<Event>>,
    pub nodes: Mutex<Vec<Node>>,
    pub fronts: Vec<(String, SocketAddr)>,
    pub temp: PathBuf,
    pub root: PathBuf,
    pub addresses: Addresses,
}

pub struct Addresses {
    pub peers: Vec<SocketAddr>,
    pub store_links: Vec<Link>,
    pub cloud: SocketAddr,
    /// By caller and callee.
    pub peer_links: BTreeMap<(usize, usize), Link>,
}

pub struct Node {
    pub name: String,
    process: Option<Child>,
    settings: PathBuf,
}

#[derive(Default)]
pub struct Cloud {
    next: u32,
    by_charter: HashMap<String, Vec<String>>,
    pub machines: BTreeMap<String, Machine>,
    pub workers: BTreeMap<String, Arc<Worker>>,
    pub down: bool,
}

#[derive(Clone)]
pub struct Machine {
    pub hull: String,
    pub berth: String,
    pub spot: bool,
    rented: Instant,
}

/// Time after which a test gives up and ends everything.
const MOST_SECONDS: u64 = 114;

/// Processes that were started and not ended yet.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started, whatever became of the test.
pub fn end_processes() {
    let running = std::mem::take(&mut *RUNNING.lock().unwrap_or_else(|e| e.into_inner()));
    for pid in running {
        let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).stderr(Stdio::null()).status();
    }
}

/// A free loopback address, below the ports that the system gives to outgoing connections.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    loop {
        let n = u32::from(NEXT.fetch_add(1, Ordering::SeqCst));
        let port = 10_240 + (std::process::id() * 61 + n * 7) % 20_000;
        let addr = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

impl Lab {
    /// Starts the stand-ins and the controllers.
    pub fn start(site: Site, root: &Path, record: &Path) -> Arc<Self> {
        let ended = Arc::new(AtomicBool::new(false));
        let temp = std::env::temp_dir().join(format!("rudderreel-review-{}", std::process::id()));
        std::fs::create_dir_all(&temp).expect("a temporary folder");
        let store = Arc::new(Store::new(site.settings.state));
        let for_store = store.clone();
        let store_addr =
            serve(listen(), ended.clone(), Arc::new(move |r: &Req| for_store.handle(r)));
        let n = site.nodes;
        let fronts: Vec<(String, SocketAddr)> =
            (0..n).map(|i| (format!("deckhand-{i}"), free_address())).collect();
        let peers: Vec<SocketAddr> = (0..n).map(|_| free_address()).collect();
        let store_links = (0..n).map(|_| Link::to(store_addr, ended.clone())).collect();
        let mut peer_links = BTreeMap::new();
        for i in 0..n {
            for j in (0..n).filter(|j| *j != i) {
                peer_links.insert((i, j), Link::to(peers[j], ended.clone()));
            }
        }
        let cloud_listener = listen();
        let cloud = cloud_listener.local_addr().expect("an address");
        let lab = Arc::new(Self {
            site,
            started: Instant::now(),
            ended: ended.clone(),
            record: Mutex::new(std::fs::File::create(record).expect("the record")),
            store,
            cloud: Mutex::default(),
            jobs: Mutex::default(),
            events: Mutex::default(),
            nodes: Mutex::default(),
            fronts,
            temp,
            root: root.to_path_buf(),
            addresses: Addresses { peers, store_links, cloud, peer_links },
        });
        let for_cloud = lab.clone();
        serve(cloud_listener, ended, Arc::new(move |r: &Req| for_cloud.cloud_request(r)));
        let watchdog = lab.clone();
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_secs(MOST_SECONDS));
            watchdog.rec("could not run: the time is over");
            end_processes();
            let _ = std::fs::remove_dir_all(&watchdog.temp);
            std::process::exit(2);
        });
        let ticker = lab.clone();
        std::thread::spawn(move || {
            while !ticker.is_over() {
                ticker.store.tick();
                std::thread::sleep(Duration::from_millis(10));
            }
        });
        for i in 0..n {
            let settings = lab.temp.join(format!("deckhand-{i}.toml"));
            std::fs::write(&settings, lab.settings(i)).expect("the settings");
            let name = format!("deckhand-{i}");
            lab.nodes.lock().unwrap().push(Node { name, process: None, settings });
            lab.start_node(i);
        }
        lab
    }

    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn is_over(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    pub fn rec(&self, line: impl AsRef<str>) {
        let text = format!("{:8.3} {}\n", self.now(), line.as_ref());
        let _ = self.record.lock().unwrap().write_all(text.as_bytes());
    }

    pub fn event(&self, kind: &'static str, task: &str, machine: &str) {
        let at = self.now();
        self.rec(format!("{machine} {kind} {task}"));
        let (task, machine) = (task.to_string(), machine.to_string());
        self.events.lock().unwrap().push(Event { at, kind, task, machine });
    }

    pub fn sleep_until(&self, at: f64) {
        let left = at - self.now();
        if left > 0.0 {
            std::thread::sleep(Duration::from_secs_f64(left));
        }
    }

    /// Waits until a condition holds. False: it did not in time.
    pub fn wait(&self, seconds: f64, mut holds: impl FnMut() -> bool) -> bool {
        let until = self.now() + seconds;
        while self.now() < until {
            if holds() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }

    fn settings(&self, i: usize) -> String {
        let (a, s) = (&self.addresses, &self.site);
        let zone = |n: usize| s.zones[n % s.zones.len()];
        let mut t = format!(
            "node = \"deckhand-{i}\"\ndomain = \"{}\"\nfront = \"{}\"\npeer_bind = \"{}\"\n\n",
            zone(i),
            self.fronts[i].1,
            a.peers[i]
        );
        for j in (0..s.nodes).filter(|j| *j != i) {
            t += &format!(
                "[[members]]\nnode = \"deckhand-{j}\"\ndomain = \"{}\"\nendpoint = \"{}\"\n\n",
                zone(j),
                a.peer_links[&(i, j)].addr
            );
        }
        t += &format!("[outside]\ncloud = \"{}\"\nstate = \"{}\"\n\n", a.cloud, a.store_links[i].addr);
        let zones: Vec<String> = s.zones.iter().map(|z| format!("\"{z}\"")).collect();
        t += &format!(
            "[params]\nnodes = {}\nzones = [{}]\nclock_error_ms = 25.0\n\n",
            s.nodes,
            zones.join(", ")
        );
        t += &(s.settings.params)();
        t += &format!(
            "[params.workers]\nreport_s = {:.1}\nlease_s = {:.1}\ngang_wait_s = {:.1}\ngang_peer_s = 4.0\ncancel_s = {:.1}\n",
            s.report_s, s.lease_s, s.settings.gang_wait_s, s.cancel_s
        );
        t
    }

    /// Starts a controller with the command of the deploy file.
    pub fn start_node(&self, i: usize) {
        let deploy = std::fs::read_to_string(self.root.join("deploy/service.toml")).expect("the deploy file");
        let line = deploy.lines().find(|l| l.starts_with("run")).expect("a run command");
        let run = line.split('"').nth(1).expect("a quoted command");
        let mut words = run.split(' ').filter(|w| !w.is_empty());
        let program = self.root.join(words.next().expect("a program"));
        let mut nodes = self.nodes.lock().unwrap();
        if nodes[i].process.is_some() {
            return;
        }
        let log = self.temp.join(format!("deckhand-{i}.log"));
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log).expect("a log");
        let level = std::env::var("REVIEW_LOG").unwrap_or("info".into());
        let process = Command::new(program)
            .args(words)
            .arg(&nodes[i].settings)
            .env("LOG_LEVEL", level)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the controller starts");
        RUNNING.lock().unwrap().push(process.id());
        nodes[i].process = Some(process);
        drop(nodes);
        self.rec(format!("deckhand-{i} started"));
    }

    pub fn kill_node(&self, i: usize) {
        let mut nodes = self.nodes.lock().unwrap();
        if let Some(mut process) = nodes[i].process.take() {
            let _ = process.kill();
            let _ = process.wait();
            RUNNING.lock().unwrap().retain(|pid| *pid != process.id());
        }
        drop(nodes);
        self.rec(format!("deckhand-{i} killed"));
    }

    /// Sends a signal to a controller: STOP or CONT.
    pub fn signal_node(&self, i: usize, signal: &str) {
        let nodes = self.nodes.lock().unwrap();
        if let Some(process) = &nodes[i].process {
            let pid = process.id().to_string();
            let _ = Command::new("kill").args([&format!("-{signal}"), &pid]).status();
        }
        drop(nodes);
        self.rec(format!("deckhand-{i} signal {signal}"));
    }

    /// Controllers whose process has ended by itself.
    pub fn ended_nodes(&self) -> Vec<String> {
        let mut nodes = self.nodes.lock().unwrap();
        let over = |n: &mut Node| n.process.as_mut().is_some_and(|p| matches!(p.try_wait(), Ok(Some(_))));
        nodes.iter_mut().filter_map(|n| over(n).then(|| n.name.clone())).collect()
    }

    pub fn resident_mb(&self, i: usize) -> Option<f64> {
        let nodes = self.nodes.lock().unwrap();
        let pid = nodes[i].process.as_ref()?.id();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find(|l| l.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse::<f64>().ok().map(|kb| kb / 1024.0)
    }

    /// The node that says of itself that it leads.
    pub fn leader(&self) -> Option<usize> {
        (0..self.site.nodes).find(|i| self.says_it_leads(*i))
    }

    /// Another node that says of itself that it leads.
    pub fn leads_besides(&self, old: usize) -> Option<usize> {
        (0..self.site.nodes).filter(|i| *i != old).find(|i| self.says_it_leads(*i))
    }

    fn says_it_leads(&self, i: usize) -> bool {
        let limit = Duration::from_millis(500);
        call(self.addresses.peers[i], "GET", "/admin/overview", "", limit)
            .and_then(|(status, body)| (status == 200).then_some(body))
            .and_then(|body| J::parse(&body))
            .is_some_and(|o| o.get("leads").bool())
    }

    /// Begins or ends an outage of the cloud's interface.
    pub fn set_cloud_down(&self, down: bool) {
        self.cloud.lock().unwrap().down = down;
        self.rec(format!("cloud down: {down}"));
    }

    /// Cuts a controller off from the state service and from the other controllers, in both directions, or ends that.
    pub fn cut_from_state_and_peers(&self, i: usize, cut: bool) {
        self.addresses.store_links[i].set_cut(cut);
        for ((from, to), link) in &self.addresses.peer_links {
            if *from == i || *to == i {
                link.set_cut(cut);
            }
        }
        self.rec(format!("deckhand-{i} cut from state service and other controllers: {cut}"));
    }

    pub fn add_job(&self, spec: &J, run_s: f64) {
        let id = spec.get("id").str().to_string();
        self.jobs.lock().unwrap().insert(id, (spec.clone(), run_s));
    }

    pub fn ask(&self, node: usize, method: &str, path: &str, body: &str, limit_s: f64) -> Option<(u16, J)> {
        let shown: String = body.chars().take(200).collect();
        let asked = self.now();
        let answer = call(self.fronts[node].1, method, path, body, Duration::from_secs_f64(limit_s));
        let answer = answer.map(|(status, text)| (status, J::parse(&text).unwrap_or(J::Null)));
        self.rec(format!(
            "user asked deckhand-{node} at {asked:.3}: {method} {path} {shown} -> {}",
            answer.as_ref().map_or("no answer".into(), |(s, b)| format!("{s} {}", b.text()))
        ));
        answer
    }

    /// Submits a job at the nodes in turn until it is answered with 200 or 201, for at most 60 s.
    pub fn submit(&self, first: usize, spec: &J, run_s: f64) -> bool {
        self.add_job(spec, run_s);
        let until = self.now() + 60.0;
        let mut node = first;
        while self.now() < until {
            match self.ask(node % self.site.nodes, "POST", "/v1/jobs", &spec.text(), 5.0) {
                Some((200 | 201, _)) => return true,
                Some((400 | 422, _)) => return false,
                _ => std::thread::sleep(Duration::from_secs(1)),
            }
            node += 1;
        }
        false
    }

    pub fn status(&self, node: usize, id: &str) -> Option<(u16, J)> {
        self.ask(node, "GET", &format!("/v1/jobs/{id}"), "", 2.0)
    }

    pub fn bearing(&self, node: usize, id: &str) -> Option<String> {
        let (status, body) = self.status(node, id)?;
        (status == 200).then(|| body.get("bearing").str().to_string())
    }

    /// Ends all processes, and removes the temporary folder.
    pub fn finish(&self) {
        self.ended.store(true, Ordering::SeqCst);
        for i in 0..self.site.nodes {
            self.signal_node(i, "CONT");
            self.kill_node(i);
        }
        if std::env::var("REVIEW_KEEP").is_ok() {
            println!("logs kept in {}", self.temp.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.temp);
        }
    }

    pub fn worker(&self, name: &str) -> Option<Arc<Worker>> {
        self.cloud.lock().unwrap().workers.get(name).cloned()
    }

    pub fn workers(&self) -> Vec<Arc<Worker>> {
        self.cloud.lock().unwrap().workers.values().cloned().collect()
    }

    // The cloud.

    fn cloud_request(self: &Arc<Self>, req: &Req) -> Reply {
        if self.cloud.lock().unwrap().down {
            return Reply::Json(503, "{\"error\":\"trouble\"}".into());
        }
        match (req.method.as_str(), req.path.as_str()) {
            ("GET", "/catalog") => Reply::Json(200, self.catalog().text()),
            ("POST", "/rentals") => self.rent(req),
            ("POST", "/rentals/return") => {
                let body = J::parse(&req.body).unwrap_or(J::Null);
                for name in body.get("decks").arr() {
                    self.rec(format!("cloud: {} returned", name.str()));
                    self.remove_machine(name.str());
                }
                Reply::Json(200, "{}".into())
            }
            ("GET", "/rentals") => self.list(req),
            _ => Reply::Json(400, "{}".into()),
        }
    }

    fn catalog(&self) -> J {
        let hulls = (self.site.hulls.iter())
            .map(|h| {
                obj(vec![
                    ("label", st(h.name)),
                    ("vcpus", num(h.cpus)),
                    ("gpus", num(h.gpus)),
                    ("memoryGb", num(h.memory)),
                    ("cacheGb", num(h.cache_gb)),
                    ("fetchGbPerS", num(h.fetch_gb_per_s)),
                    ("rate", num(h.rate)),
                    ("marketPrice", num(h.spot_rate)),
                    ("startupS", num(h.startup_s)),
                    ("berths", J::Arr(h.berths.iter().map(st).collect())),
                ])
            })
            .collect();
        obj(vec![("hulls", J::Arr(hulls))])
    }

    fn rent(self: &Arc<Self>, req: &Req) -> Reply {
        let Some(body) = J::parse(&req.body) else {
            return Reply::Json(400, "{}".into());
        };
        let charter = body.get("charter").str().to_string();
        let (hull, berth) = (body.get("hull").str().to_string(), body.get("berth").str().to_string());
        let (spot, count) = (body.get("driftwood").bool(), body.get("count").u64().unwrap_or(0));
        let names = |list: &Vec<String>| obj(vec![("decks", J::Arr(list.iter().map(st).collect()))]);
        let mut cloud = self.cloud.lock().unwrap();
        if let Some(known) = cloud.by_charter.get(&charter) {
            return Reply::Json(200, names(known).text());
        }
        let in_use = (cloud.machines.values())
            .filter(|m| m.hull == hull && m.berth == berth && m.spot == spot)
            .count();
        let capacity = (self.site.capacity.iter())
            .filter(|(h, b, s, _)| *h == hull && *b == berth && *s == spot)
            .map(|(.., n)| *n)
            .sum::<usize>();
        let n = capacity.saturating_sub(in_use).min(count as usize);
        if n == 0 {
            self.rec(format!("cloud: no capacity for {count} {hull} {berth} spot={spot}"));
            return Reply::Json(503, "{\"error\":\"no capacity\"}".into());
        }
        let mut list = Vec::new();
        for _ in 0..n {
            cloud.next += 1;
            let name = format!("vm-{:06}", cloud.next);
            let machine = Machine { hull: hull.clone(), berth: berth.clone(), spot, rented: Instant::now() };
            cloud.machines.insert(name.clone(), machine.clone());
            list.push(name.clone());
            let lab = self.clone();
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(lab.site.boot_ms));
                if lab.cloud.lock().unwrap().machines.contains_key(&name) && !lab.is_over() {
                    let worker = Worker::start(&lab, &name, &machine);
                    lab.cloud.lock().unwrap().workers.insert(name, worker);
                }
            });
        }
        self.rec(format!("cloud: rented {list:?} {hull} {berth} spot={spot}"));
        cloud.by_charter.insert(charter, list.clone());
        Reply::Json(200, names(&list).text())
    }

    /// Removes a machine with everything on it: returned, or taken back by the cloud.
    pub fn remove_machine(&self, name: &str) {
        let mut cloud = self.cloud.lock().unwrap();
        cloud.machines.remove(name);
        let worker = cloud.workers.remove(name);
        drop(cloud);
        if let Some(worker) = worker {
            worker.end(self);
        }
    }

    fn list(&self, req: &Req) -> Reply {
        let after = req.query.get("after").cloned().unwrap_or_default();
        let most: usize = req.query.get("most").and_then(|v| v.parse().ok()).unwrap_or(500).min(500);
        let cloud = self.cloud.lock().unwrap();
        let listed: Vec<J> = (cloud.machines.iter())
            .filter(|(id, m)| **id > after && m.rented.elapsed() > Duration::from_secs(10))
            .map(|(id, m)| {
                let worker = cloud.workers.get(id);
                let mut fields = vec![
                    ("id", st(id)),
                    ("hull", st(&m.hull)),
                    ("berth", st(&m.berth)),
                    ("driftwood", J::Bool(m.spot)),
                    ("bearing", st(if worker.is_some() { "running" } else { "starting" })),
                    ("ageS", num(format!("{:.3}", m.rented.elapsed().as_secs_f64()))),
                ];
                if let Some(worker) = worker {
                    fields.push(("addr", st(worker.addr)));
                }
                obj(fields)
            })
            .collect();
        let more = listed.len() > most;
        let page: Vec<J> = listed.into_iter().take(most).collect();
        Reply::Json(200, obj(vec![("decks", J::Arr(page)), ("hasNext", J::Bool(more))]).text())
    }
}

pub struct Task {
    pub id: String,
    pub launch: u64,
    pub state: &'static str,
    pub cause: &'static str,
    pub stored: bool,
    since: Instant,
    need: (f64, f64, f64),
    run_s: f64,
    stow_s: f64,
    saves: bool,
    image: String,
    fetch_s: f64,
}

pub struct WorkerState {
    watch: u64,
    tally: u64,
    helm: u64,
    lease_start: Instant,
    pub tasks: Vec<Task>,
    images: BTreeSet<String>,
    changed: bool,
    token_change: Option<Instant>,
    gone: bool,
    /// Set by a test: the worker tells what it receives.
    pub lease_losses: u64,
    pub oversize: u64,
}

pub struct Worker {
    pub name: String,
    pub machine: Machine,
    pub addr: SocketAddr,
    hull: Hull,
    lab: std::sync::Weak<Lab>,
    ended: Arc<AtomicBool>,
    pub state: Mutex<WorkerState>,
}

impl Worker {
    fn start(lab: &Arc<Lab>, name: &str, machine: &Machine) -> Arc<Self> {
        let listener = listen();
        let ended = Arc::new(AtomicBool::new(false));
        let hull = (lab.site.hulls.iter().find(|h| h.name == machine.hull)).expect("a known type").clone();
        let worker = Arc::new(Self {
            name: name.into(),
            machine: machine.clone(),
            addr: listener.local_addr().expect("an address"),
            hull,
            lab: Arc::downgrade(lab),
            ended: ended.clone(),
            state: Mutex::new(WorkerState {
                watch: 1,
                tally: 0,
                helm: 0,
                lease_start: Instant::now(),
                tasks: Vec::new(),
                images: BTreeSet::new(),
                changed: false,
                token_change: None,
                gone: false,
                lease_losses: 0,
                oversize: 0,
            }),
        });
        lab.rec(format!("{name} is up"));
        let (w, l) = (worker.clone(), lab.clone());
        serve(listener, ended, Arc::new(move |r: &Req| w.direct(&l, r)));
        let (w, l) = (worker.clone(), lab.clone());
        std::thread::spawn(move || {
            while !w.is_over(&l) {
                w.advance(&l, &mut w.state.lock().unwrap());
                std::thread::sleep(Duration::from_millis(10));
            }
        });
        let (w, l) = (worker.clone(), lab.clone());
        std::thread::spawn(move || w.report_loop(&l));
        worker
    }

    fn is_over(&self, lab: &Lab) -> bool {
        lab.is_over() || self.ended.load(Ordering::SeqCst)
    }

    fn end(&self, lab: &Lab) {
        self.ended.store(true, Ordering::SeqCst);
        let mut s = self.state.lock().unwrap();
        s.gone = true;
        self.drop_tasks(lab, &mut s);
        lab.rec(format!("{} is gone", self.name));
    }

    fn drop_tasks(&self, lab: &Lab, s: &mut WorkerState) {
        for task in std::mem::take(&mut s.tasks) {
            if matches!(task.state, "running" | "saving" | "gathering") {
                lab.event("gone", &task.id, &self.name);
            }
        }
    }

    /// Advances the tasks, and ends everything if the lease has run out.
    fn advance(&self, lab: &Lab, s: &mut WorkerState) {
        if s.gone {
            return;
        }
        if s.lease_start.elapsed().as_secs_f64() > lab.site.lease_s {
            lab.rec(format!("{} lease expired, session {} ends", self.name, s.watch));
            self.drop_tasks(lab, s);
            s.watch += 1;
            s.lease_losses += 1;
            s.lease_start = Instant::now();
            s.changed = true;
        }
        let mut changed = false;
        let (mut images, cached) = (Vec::new(), s.images.clone());
        for t in &mut s.tasks {
            let age = t.since.elapsed().as_secs_f64();
            match t.state {
                "pulling" if cached.contains(&t.image) || age >= t.fetch_s => {
                    t.state = "running";
                    t.since = Instant::now();
                    images.push(t.image.clone());
                    lab.event("started", &t.id, &self.name);
                    changed = true;
                }
                "running" if t.run_s > 0.0 && age >= t.run_s => {
                    (t.state, t.cause) = ("exited", "done");
                    lab.event("done", &t.id, &self.name);
                    changed = true;
                }
                "saving" if age >= t.stow_s => {
                    (t.state, t.cause, t.stored) = ("exited", "halted", true);
                    lab.event("halted", &t.id, &self.name);
                    changed = true;
                }
                _ => {}
            }
        }
        s.images.extend(images);
        s.changed |= changed;
    }

    fn execute(&self, lab: &Lab, s: &mut WorkerState, order: &J, how: &str) {
        let (id, launch) = (order.get("take").str().to_string(), order.get("launch").u64().unwrap_or(0));
        let known = s.tasks.iter().position(|t| t.id == id && t.launch == launch);
        match order.get("verb").str() {
            "run" if known.is_none() => {
                lab.event("run received", &id, &self.name);
                lab.rec(format!("{} run {id} launch {launch} by {how}", self.name));
                let (job, index) = id.split_once('/').unwrap_or((&id, ""));
                let job = lab.jobs.lock().unwrap().get(job).cloned();
                let index: u64 = index.parse().unwrap_or(u64::MAX);
                let mut task = Task {
                    id: id.clone(),
                    launch,
                    state: "exited",
                    cause: "unknown",
                    stored: false,
                    since: Instant::now(),
                    need: (0.0, 0.0, 0.0),
                    run_s: 0.0,
                    stow_s: 0.0,
                    saves: false,
                    image: String::new(),
                    fetch_s: 0.0,
                };
                if let Some((spec, run_s)) = job.filter(|(spec, _)| index < spec.get("takes").u64().unwrap_or(0)) {
                    let n = |k: &str| spec.get(k).f64();
                    task.need = (n("vcpus"), n("gpus"), n("memoryGb"));
                    task.image = spec.get("pressing").str().to_string();
                    task.fetch_s = n("pullGb") / self.hull.fetch_gb_per_s;
                    (task.run_s, task.stow_s, task.saves) = (run_s, n("stowS"), n("snapshotS") > 0.0);
                    let on = |t: &&Task| t.state != "exited";
                    let used = s.tasks.iter().filter(on).fold((0.0, 0.0, 0.0), |u, t| {
                        (u.0 + t.need.0, u.1 + t.need.1, u.2 + t.need.2)
                    });
                    let fits = used.0 + task.need.0 <= self.hull.cpus + 1e-6
                        && used.1 + task.need.1 <= self.hull.gpus + 1e-6
                        && used.2 + task.need.2 <= self.hull.memory + 1e-6;
                    let other = s.tasks.iter().any(|t| t.id == id && t.state != "exited");
                    task.cause = if other {
                        "in_use"
                    } else if !fits {
                        "no_room"
                    } else {
                        ""
                    };
                    if task.cause.is_empty() {
                        task.state = "pulling";
                    }
                }
                if task.state == "exited" {
                    lab.rec(format!("{} refused {id}: {}", self.name, task.cause));
                }
                s.tasks.push(task);
                s.changed = true;
            }
            "stop" => {
                let Some(n) = known else { return };
                let slack = order.get("slackS").f64();
                lab.event("stop received", &id, &self.name);
                let t = &mut s.tasks[n];
                match t.state {
                    "exited" => {}
                    "running" if t.saves && slack >= t.stow_s && slack > 0.0 => {
                        (t.state, t.since) = ("saving", Instant::now());
                    }
                    "saving" if slack > 0.0 => {}
                    _ => {
                        if t.state != "pulling" {
                            lab.event("halted", &id, &self.name);
                        }
                        (t.state, t.cause) = ("exited", "halted");
                    }
                }
                s.changed = true;
            }
            "reap" => {
                if let Some(n) = known.filter(|n| s.tasks[*n].state == "exited") {
                    s.tasks.remove(n);
                }
            }
            _ => {}
        }
    }

    fn report(&self, s: &mut WorkerState) -> String {
        s.tally += 1;
        let takes = (s.tasks.iter())
            .map(|t| {
                let mut fields = vec![("take", st(&t.id)), ("launch", num(t.launch)), ("bearing", st(t.state))];
                if t.state == "exited" {
                    fields.push(("cause", st(t.cause)));
                }
                if t.stored {
                    fields.push(("stored", J::Bool(true)));
                }
                obj(fields)
            })
            .collect();
        obj(vec![
            ("deck", st(&self.name)),
            ("addr", st(self.addr)),
            ("hull", st(&self.machine.hull)),
            ("berth", st(&self.machine.berth)),
            ("driftwood", J::Bool(self.machine.spot)),
            ("watch", num(s.watch)),
            ("tally", num(s.tally)),
            ("helm", num(s.helm)),
            ("recallS", J::Null),
            ("takes", J::Arr(takes)),
        ])
        .text()
    }

    /// Commands to the worker's own address.
    fn direct(&self, lab: &Lab, req: &Req) -> Reply {
        let mut s = self.state.lock().unwrap();
        self.advance(lab, &mut s);
        if s.gone {
            return Reply::Close;
        }
        if req.path == "/inspect" {
            return Reply::Json(200, self.report(&mut s));
        }
        if req.body.len() > MAX_BYTES {
            s.oversize += 1;
            lab.rec(format!("{} got /orders with a body of {} bytes: refused", self.name, req.body.len()));
            return Reply::Json(400, "{}".into());
        }
        let body = J::parse(&req.body).unwrap_or(J::Null);
        let (Some(helm), Some(watch)) = (body.get("helm").u64(), body.get("watch").u64()) else {
            return Reply::Json(400, "{}".into());
        };
        if helm < s.helm || watch != s.watch {
            return Reply::Json(409, self.report(&mut s));
        }
        s.helm = helm;
        for order in body.get("orders").arr() {
            self.execute(lab, &mut s, order, &format!("direct command, token {helm}"));
        }
        Reply::Json(200, self.report(&mut s))
    }

    fn report_loop(&self, lab: &Lab) {
        let seed = self.name.bytes().map(usize::from).sum::<usize>();
        let mut node = seed % lab.site.nodes;
        let mut last = Instant::now() - Duration::from_secs(10);
        let mut turn = 0u64;
        while !self.is_over(lab) {
            turn += 1;
            let jitter = ((seed as u64 + turn * 7) % 11) as f64 / 10.0 * 0.5 - 0.25;
            let interval = lab.site.report_s * (1.0 + jitter);
            loop {
                let since = last.elapsed().as_secs_f64();
                let changed = self.state.lock().unwrap().changed;
                if since >= interval || (changed && since >= 0.5) || self.is_over(lab) {
                    break;
                }
                std::thread::sleep(Duration::from_millis(5));
            }
            if self.is_over(lab) {
                return;
            }
            last = Instant::now();
            if let Some(next) = self.report_once(lab, node) {
                match next {
                    Some(named) if named != node => node = named,
                    _ => {
                        node = (node + 1) % lab.site.nodes;
                        std::thread::sleep(Duration::from_secs(1));
                    }
                }
                last = Instant::now() - Duration::from_secs(10);
            }
        }
    }

    /// Reports once. None: the worker stays with this node. Otherwise the node that was named, if any.
    fn report_once(&self, lab: &Lab, node: usize) -> Option<Option<usize>> {
        let (text, watch, sent) = {
            let mut s = self.state.lock().unwrap();
            self.advance(lab, &mut s);
            s.changed = false;
            (self.report(&mut s), s.watch, Instant::now())
        };
        if text.len() > MAX_BYTES {
            lab.rec(format!("{} has a report of {} bytes", self.name, text.len()));
        }
        let answer = call(lab.fronts[node].1, "POST", "/v1/report", &text, Duration::from_secs(4));
        let Some((status, body)) = answer else {
            lab.rec(format!("{} report to deckhand-{node}: no answer", self.name));
            return Some(None);
        };
        if status != 200 {
            lab.rec(format!("{} report to deckhand-{node}: {status} {}", self.name, body.chars().take(120).collect::<String>()));
            let named = J::parse(&body).map(|b| b.get("harbour").str().to_string()).unwrap_or_default();
            let named = lab.fronts.iter().position(|(n, _)| *n == named);
            return Some(named.filter(|_| status == 421));
        }
        let mut s = self.state.lock().unwrap();
        if body.lines().any(|l| l.len() > MAX_BYTES) {
            s.oversize += 1;
            lab.rec(format!("{} got a response with a line of {} bytes: dropped", self.name, body.len()));
            return Some(None);
        }
        let reply = J::parse(&body).unwrap_or(J::Null);
        self.advance(lab, &mut s);
        let helm = reply.get("helm").u64().unwrap_or(0);
        if s.gone || watch != s.watch || helm < s.helm || sent.elapsed() > Duration::from_secs(4) {
            lab.rec(format!("{} dropped a response with token {helm}", self.name));
            return None;
        }
        let half = Duration::from_secs_f64(lab.site.lease_s / 2.0);
        if helm > s.helm && s.token_change.is_none_or(|at| at.elapsed() > half) {
            s.token_change = Some(Instant::now());
            s.changed = true;
        }
        s.helm = helm;
        s.lease_start = s.lease_start.max(sent);
        for order in reply.get("orders").arr() {
            self.execute(lab, &mut s, order, &format!("response of deckhand-{node}, token {helm}"));
        }
        None
    }
}

/// A submission with the fields of PROTOCOL; `set` replaces some of them.
pub fn job(id: &str, reel: &str, crew: &str, rig: &str, set: Vec<(&str, J)>) -> J {
    let prod = rig == "standing";
    let mut fields: Vec<(&str, J)> = vec![
        ("id", st(id)),
        ("reel", st(reel)),
        ("crew", st(crew)),
        ("rig", st(rig)),
        ("precedence", st(if prod { "prod" } else { "normal" })),
        ("takes", num(1)),
        ("vcpus", num(1.0)),
        ("gpus", num(0.0)),
        ("memoryGb", num(2.0)),
        ("pressing", st("img-1")),
        ("pullGb", num(0.2)),
        ("hulls", J::Null),
        ("berth", J::Null),
        ("together", J::Bool(false)),
        ("scatter", J::Bool(false)),
        ("driftwood", J::Bool(!prod)),
        ("expectedS", num(if prod { 0.0 } else { 10.0 })),
        ("snapshotS", num(0.0)),
        ("stowS", num(0.0)),
        ("dueS", J::Null),
    ];
    for (key, value) in set {
        match fields.iter_mut().find(|(k, _)| *k == key) {
            Some(field) => field.1 = value,
            None => fields.push((key, value)),
        }
    }
    obj(fields)
}
