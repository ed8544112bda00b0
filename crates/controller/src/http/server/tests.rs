use super::*;
use crate::http::connection::ConnectionState;
use crate::http::parser::MAX_HEAD_BYTES;
use crate::http::STATUS_REPORT_PATH;
use std::io::Read;
use std::net::TcpStream as Client;

const LIMITS: ServerLimits = ServerLimits {
    connections: 60,
    agent_connections: 40,
    body_bytes: 1_000,
    buffered_bytes: 3_000,
};

/// A server on loopback that answers everything but reports at once; those from another thread.
fn start() -> SocketAddrV4 {
    let any = "127.0.0.1:0".parse().expect("an address");
    let (server, answers) =
        Server::listen(any, ServerNumber(1), LIMITS, Arc::default()).expect("it listens");
    let addr = server.addr().expect("an address");
    std::thread::spawn(move || {
        server.serve(|id, request| {
            if request.url == STATUS_REPORT_PATH {
                let (answers, body) = (answers.clone(), request.body.map(<[u8]>::to_vec));
                std::thread::spawn(move || {
                    answers.send(id, Response::json(200, body.unwrap_or_default()))
                });
                return None;
            }
            match request.body {
                Some(body) => Some(Response::json(200, body.to_vec())),
                None => Some(Response::error(400, "too long")),
            }
        });
    });
    addr
}

fn open(addr: SocketAddrV4) -> Client {
    let client = Client::connect(addr).expect("it connects");
    let most = Some(Duration::from_secs(10));
    client.set_read_timeout(most).expect("a time limit");
    client
}

/// Reads one answer: status and body. None if the connection ended first.
fn answer(client: &mut Client) -> Option<(u16, String)> {
    let mut bytes = Vec::new();
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 16];
        let mut head = httparse::Response::new(&mut headers);
        if let Ok(httparse::Status::Complete(start)) = head.parse(&bytes) {
            let length = (head.headers.iter())
                .find(|h| h.name == "Content-Length")
                .and_then(|h| std::str::from_utf8(h.value).ok()?.parse().ok())
                .unwrap_or(0);
            if let Some(body) = bytes.get(start..start + length) {
                let text = String::from_utf8_lossy(body).into_owned();
                return Some((head.code?, text));
            }
        }
        let mut byte = [0];
        match client.read(&mut byte) {
            Ok(1) => bytes.push(byte[0]),
            _ => return None,
        }
    }
}

fn ask(client: &mut Client, text: &str) -> Option<(u16, String)> {
    client.write_all(text.as_bytes()).ok()?;
    answer(client)
}

fn report(client: &mut Client) -> Option<(u16, String)> {
    ask(
        client,
        "POST /v1/report HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}",
    )
}

fn up(client: &mut Client) -> Option<(u16, String)> {
    ask(client, "GET /up HTTP/1.1\r\n\r\n")
}

fn is(status: u16) -> impl Fn(&Option<(u16, String)>) -> bool {
    move |found| found.as_ref().is_some_and(|(s, _)| *s == status)
}

/// With a thread for each connection a node that a whole fleet came to would have ended. Now
/// workers beyond their part are sent on at once, everybody beyond the whole is refused at
/// once, users and health checks keep their places, and when some have gone there is room again.
#[test]
fn too_many_connections_are_refused_at_once() {
    let addr = start();
    let mut health = open(addr);
    assert!(is(200)(&up(&mut health)));
    let mut workers: Vec<Client> = (0..LIMITS.agent_connections).map(|_| open(addr)).collect();
    assert!(workers.iter_mut().all(|w| is(200)(&report(w))));
    let mut more = open(addr);
    assert!(is(421)(&report(&mut more)), "a worker too many is sent on");
    assert_eq!(answer(&mut more), None, "and its connection ends");
    let users = LIMITS.connections - LIMITS.agent_connections - 1;
    let mut users: Vec<Client> = (0..users).map(|_| open(addr)).collect();
    assert!(users.iter_mut().all(|u| is(200)(&up(u))));
    let mut refused = open(addr);
    let answered = answer(&mut refused);
    assert!(answered.is_none() || is(503)(&answered), "{answered:?}");
    assert!(is(200)(&up(&mut health)), "those that are there go on");
    assert!(workers.iter_mut().all(|w| is(200)(&report(w))));
    drop(workers);
    // The server sees that they have gone when it gets to it.
    let again = (0..1_000).any(|_| is(200)(&report(&mut open(addr))));
    assert!(again, "there is room again");
}

#[test]
fn requests_come_whole_in_pieces_in_chunks_and_one_after_the_other() {
    let addr = start();
    let mut client = open(addr);
    let text = "POST /x HTTP/1.1\r\ncontent-length: 5\r\n\r\nhello";
    for part in text.as_bytes().chunks(7) {
        client.write_all(part).expect("it is taken");
        std::thread::sleep(Duration::from_millis(2));
    }
    let hello = Some((200, "hello".to_string()));
    assert_eq!(answer(&mut client), hello);
    let chunked = "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\
        2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n";
    assert_eq!(ask(&mut client, chunked), hello);
    // Not asked for by the protocol, but a thousand at once must not do harm either.
    client
        .write_all(text.repeat(1_000).as_bytes())
        .expect("taken");
    assert!((0..1_000).all(|_| answer(&mut client) == hello));
    let expects = text.replace("\r\n\r\n", "\r\nExpect: 100-continue\r\n\r\n");
    assert_eq!(ask(&mut client, &expects), hello);
    let last = text.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
    assert_eq!(ask(&mut client, &last), hello);
    assert_eq!(up(&mut client), None, "the connection has ended");
}

#[test]
fn what_is_not_http_or_too_long_is_refused() {
    let addr = start();
    let long = "POST /x HTTP/1.1\r\nContent-Length: 1001\r\n\r\n";
    let chunked = "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n";
    let size = "POST /x HTTP/1.1\r\nContent-Length: -1\r\n\r\n";
    let head = format!("GET /{} HTTP/1.1\r\n", "x".repeat(MAX_HEAD_BYTES));
    for text in [long, chunked, size, "\u{1}\u{2}\r\n\r\n", &head] {
        assert!(is(400)(&ask(&mut open(addr), text)), "{text:.40}");
    }
}

/// The state of the only connection.
fn state(server: &Server) -> Option<ConnectionState> {
    server.connections.get(0).map(|connection| connection.state)
}

fn set_state(server: &mut Server, state: ConnectionState) {
    server.connections.get_mut(0).expect("a connection").state = state;
}

/// An answer that comes when its connection serves another request already, or another client.
#[test]
fn late_answers_are_dropped() {
    let any = "127.0.0.1:0".parse().expect("an address");
    let (mut server, _) =
        Server::listen(any, ServerNumber(1), LIMITS, Arc::default()).expect("it listens");
    let mut ids = Vec::new();
    let _client = open(server.addr().expect("an address"));
    while server.connections.len() == 0 {
        server.accept();
    }
    for _ in 0..2 {
        let text = b"GET /up HTTP/1.1\r\n\r\n";
        server.take_bytes(0, text, &mut |id, _| {
            ids.push(id);
            None
        });
        set_state(&mut server, ConnectionState::ReadingRequest);
    }
    set_state(&mut server, ConnectionState::AwaitingResponse);
    server.respond(ids[0], Response::json(200, vec![]), &mut |_, _| None);
    assert_eq!(state(&server), Some(ConnectionState::AwaitingResponse));
    server.respond(ids[1], Response::json(200, vec![]), &mut |_, _| None);
    assert_eq!(state(&server), Some(ConnectionState::ReadingRequest));
}

/// Clients that send parts of requests can't take more memory than there is for them, and others are served.
#[test]
fn incomplete_requests_hold_bounded_memory() {
    let addr = start();
    let head = "POST /any HTTP/1.1\r\nContent-Length: 1000\r\n\r\n";
    let part = format!("{head}{}", "x".repeat(900));
    let send = |text: &str| {
        let mut client = open(addr);
        client.write_all(text.as_bytes()).expect("it is sent");
        // Sent one after the other, they are read one after the other.
        std::thread::sleep(Duration::from_millis(50));
        client
    };
    let mut first: Vec<Client> = (0..3).map(|_| send(&part)).collect();
    let mut beyond = send(&part);
    assert_eq!(answer(&mut beyond).map(|(status, _)| status), Some(503));
    let mut whole = send("GET /any HTTP/1.1\r\n\r\n");
    assert_eq!(answer(&mut whole).map(|(status, _)| status), Some(200));
    for client in &mut first {
        client.write_all(&[b'x'; 100]).expect("the rest is sent");
        assert_eq!(answer(client).map(|(status, _)| status), Some(200));
    }
    // What they held has been given back.
    let mut later: Vec<Client> = (0..3).map(|_| send(&part)).collect();
    for client in &mut later {
        client.write_all(&[b'x'; 100]).expect("the rest is sent");
        assert_eq!(answer(client).map(|(status, _)| status), Some(200));
    }
}
