//! A whole fleet comes to one controller at once.

use crate::agents::Shared;
use crate::controller::{start_all, Controller, Deployment};
use crate::history::History;
use crate::stand_ins::Outside;
use rudderreel_wire::ids::{Epoch, Incarnation, Seq};
use rudderreel_wire::worker::StatusReport;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Barrier, Mutex};
use std::time::{Duration, Instant};

/// Agents that come at once.
const WORKERS: usize = 4_000;
/// Threads that play them.
const THREADS: usize = 16;
/// Descriptors that the test needs for everything else.
const OTHER_DESCRIPTORS: u64 = 400;
/// No single answer takes longer, however busy the machine is.
const PATIENCE: Duration = Duration::from_secs(60);

/// A connection to the controller.
struct Client(TcpStream);

impl Client {
    fn open(addr: SocketAddr) -> Self {
        let stream = TcpStream::connect(addr).expect("it connects");
        stream
            .set_read_timeout(Some(PATIENCE))
            .expect("a time limit");
        Self(stream)
    }

    fn send(&mut self, head: &str, body: &str) {
        let length = body.len();
        let text = format!("{head} HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{body}");
        self.0.write_all(text.as_bytes()).expect("it is sent");
    }

    /// The status of the next answer.
    fn status(&mut self) -> u16 {
        let mut bytes = Vec::new();
        let mut part = [0; 1_024];
        loop {
            let mut headers = [httparse::EMPTY_HEADER; 16];
            let mut head = httparse::Response::new(&mut headers);
            if let Ok(httparse::Status::Complete(start)) = head.parse(&bytes) {
                let length: usize = (head.headers.iter())
                    .find(|h| h.name == "Content-Length")
                    .and_then(|h| std::str::from_utf8(h.value).ok()?.parse().ok())
                    .expect("a length");
                if bytes.len() >= start + length {
                    return head.code.expect("a status");
                }
            }
            match self.0.read(&mut part).expect("an answer") {
                0 => panic!("the connection was closed"),
                n => bytes.extend_from_slice(&part[..n]),
            }
        }
    }

    fn ask(&mut self, head: &str) -> u16 {
        self.send(head, "");
        self.status()
    }
}

fn report(n: usize, seq: u64) -> String {
    let report = StatusReport {
        machine: format!("vm-{n:06}").as_str().into(),
        addr: "127.0.0.1:1".into(),
        machine_type: "m4".into(),
        zone: "a".into(),
        spot: false,
        incarnation: Incarnation(1),
        seq: Seq(seq),
        token: Epoch(0),
        reclaim_in_s: None,
        tasks: Vec::new(),
    };
    serde_json::to_string(&report).expect("JSON")
}

/// A controller that is alone, with so many sockets, and the services outside.
fn alone(sockets: u64) -> (Outside, Controller) {
    let shared = Arc::new(Shared {
        history: History::default(),
        jobs: Mutex::default(),
        controllers: Mutex::default(),
        run: Duration::from_secs(1),
    });
    let outside = Outside::start(1, 0, shared);
    let deployment = Deployment {
        controllers: 1,
        sockets,
        teams: vec![("red", 100.0)],
    };
    let controller = start_all(&deployment, &outside).remove(0);
    wait_until_up(controller.public_address);
    (outside, controller)
}

/// Waits until the controller leads and answers.
fn wait_until_up(public_address: SocketAddr) {
    let until = Instant::now() + PATIENCE;
    while Instant::now() < until {
        if let Ok(stream) = TcpStream::connect(public_address) {
            drop(stream);
            let mut client = Client::open(public_address);
            client.send("POST /v1/report", &report(999_999, 1));
            if client.status() == 200 {
                return;
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("the controller does not lead");
}

/// What a fleet that came at once met with.
struct Rush {
    agents: usize,
    answered: usize,
    elsewhere: usize,
    /// The longest that a health check took meanwhile, and how many there were.
    slowest_check: Duration,
    checks: usize,
    took: Duration,
}

/// Has agents connect and report twice, all at the same time, while health is checked.
fn rush(controller: &Controller, agents: usize) -> Rush {
    let over = Arc::new(AtomicBool::new(false));
    let (public_address, ended) = (controller.public_address, over.clone());
    let health = std::thread::spawn(move || {
        let (mut slowest, mut checks) = (Duration::ZERO, 0);
        while !ended.load(Ordering::Relaxed) {
            let begun = Instant::now();
            assert_eq!(Client::open(public_address).ask("GET /up"), 200);
            slowest = slowest.max(begun.elapsed());
            checks += 1;
        }
        (slowest, checks)
    });
    let begun = Instant::now();
    let start = Arc::new(Barrier::new(THREADS));
    let play = |thread: usize| {
        let start = start.clone();
        std::thread::spawn(move || {
            start.wait();
            let mine = (0..agents).filter(move |n| n % THREADS == thread);
            let mut clients: Vec<(usize, Client)> =
                mine.map(|n| (n, Client::open(public_address))).collect();
            let mut statuses = Vec::new();
            for seq in 1..=2 {
                for (n, client) in &mut clients {
                    client.send("POST /v1/report", &report(*n, seq));
                }
                statuses = clients.iter_mut().map(|(_, c)| c.status()).collect();
                if statuses.iter().any(|status| *status != 200) {
                    break;
                }
            }
            // Their connections stay open until all have been answered.
            (statuses, clients)
        })
    };
    let threads: Vec<_> = (0..THREADS).map(play).collect();
    let (statuses, clients): (Vec<_>, Vec<_>) = (threads.into_iter())
        .map(|thread| thread.join().expect("its workers are answered"))
        .unzip();
    let statuses: Vec<u16> = statuses.concat();
    let took = begun.elapsed();
    over.store(true, Ordering::Relaxed);
    let (slowest_check, checks) = health.join().expect("health is checked");
    let count = |status: u16| statuses.iter().filter(|s| **s == status).count();
    let rush = Rush {
        agents,
        answered: count(200),
        elsewhere: count(421),
        slowest_check,
        checks,
        took,
    };
    drop(clients);
    let memory = controller.memory().unwrap_or(0) / (1 << 20);
    println!(
        "{} workers at once: {} answered, {} sent elsewhere, in {:?}; {} health checks, the slowest {:?}; {memory} MiB",
        rush.agents, rush.answered, rush.elsewhere, rush.took, rush.checks, rush.slowest_check
    );
    rush
}

/// As many agents as descriptors are permitted for, at most those wanted.
fn permitted(wanted: usize) -> usize {
    let limit = rlimit::increase_nofile_limit(wanted as u64 + OTHER_DESCRIPTORS).unwrap_or(1_024);
    let agents = wanted.min(limit.saturating_sub(OTHER_DESCRIPTORS) as usize);
    if agents < wanted {
        println!("descriptors for {agents} of {wanted} agents are permitted");
    }
    agents
}

/// The listener had room for 1,024 connections that wait to be accepted, and the core for as many reports:
/// what did not fit was dropped or refused.
#[test]
fn a_fleet_that_comes_at_once_is_answered() {
    let agents = permitted(WORKERS);
    let (_outside, controller) = alone(2 * agents as u64);
    let rush = rush(&controller, agents);
    assert_eq!(rush.answered, agents);
    assert!(rush.checks > 0);
    let mut admin = Client::open(controller.peers);
    assert_eq!(admin.ask("GET /admin/machines?after=vm-000100"), 200);
    assert_eq!(admin.ask("GET /admin/refusals"), 200);
    assert_eq!(admin.ask("GET /admin/process"), 200);
}

/// A node with fewer sockets than the fleet wants takes what it can, and sends the others on at once.
#[test]
fn workers_beyond_the_sockets_are_sent_elsewhere() {
    let (_outside, controller) = alone(400);
    let rush = rush(&controller, 260);
    assert_eq!(rush.answered + rush.elsewhere, 260);
    // 400 sockets are for 300 connections, of which 225 are for agents.
    assert!((200..=225).contains(&rush.answered), "{}", rush.answered);
}

/// With a bound on time, so not in CI: `cargo test --release -p rudderreel --test loopback -- --ignored`.
#[test]
#[ignore = "judges by the clock"]
fn health_is_answered_within_a_second_while_a_fleet_comes() {
    for agents in [4_000, 6_000] {
        let agents = permitted(agents);
        let (_outside, controller) = alone(2 * agents as u64);
        let rush = rush(&controller, agents);
        assert_eq!(rush.answered, agents);
        assert!(rush.slowest_check < Duration::from_secs(1));
    }
}
