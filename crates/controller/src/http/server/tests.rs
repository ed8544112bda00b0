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

/// Starts a server on loopback that answers status reports from another thread and everything else at once.
fn start() -> SocketAddrV4 {
    let any = "127.0.0.1:0".parse().expect("an address");
    let (server, responses) =
        Server::listen(any, ServerNumber(1), LIMITS, Arc::default()).expect("a listening server");
    let addr = server.addr().expect("an address");
    std::thread::spawn(move || {
        server.serve(|id, request| {
            if request.url == STATUS_REPORT_PATH {
                let (responses, body) = (responses.clone(), request.body.map(<[u8]>::to_vec));
                std::thread::spawn(move || {
                    responses.send(id, Response::json(200, body.unwrap_or_default()))
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

fn connect(addr: SocketAddrV4) -> Client {
    let client = Client::connect(addr).expect("a connection");
    let timeout = Some(Duration::from_secs(10));
    client.set_read_timeout(timeout).expect("a time limit");
    client
}

/// Reads one response and returns its status and body; `None` if the connection ended first.
fn read_response(client: &mut Client) -> Option<(u16, String)> {
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

fn send_request(client: &mut Client, text: &str) -> Option<(u16, String)> {
    client.write_all(text.as_bytes()).ok()?;
    read_response(client)
}

fn post_report(client: &mut Client) -> Option<(u16, String)> {
    send_request(
        client,
        "POST /v1/report HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}",
    )
}

fn get_health(client: &mut Client) -> Option<(u16, String)> {
    send_request(client, "GET /up HTTP/1.1\r\n\r\n")
}

fn has_status(status: u16) -> impl Fn(&Option<(u16, String)>) -> bool {
    move |found| found.as_ref().is_some_and(|(s, _)| *s == status)
}

/// With one thread per connection, a node that a whole fleet connected to would have exceeded its limit on threads.
/// Agents above their limit are redirected at once, connections above the total limit are refused at once, users and
/// health checks are still served, and closed connections make room for new ones.
#[test]
fn too_many_connections_are_refused_at_once() {
    let addr = start();
    let mut health = connect(addr);
    assert!(has_status(200)(&get_health(&mut health)));
    let mut agents: Vec<Client> = (0..LIMITS.agent_connections)
        .map(|_| connect(addr))
        .collect();
    assert!(agents.iter_mut().all(|a| has_status(200)(&post_report(a))));
    let mut redirected = connect(addr);
    assert!(
        has_status(421)(&post_report(&mut redirected)),
        "an agent above the limit is redirected"
    );
    assert_eq!(read_response(&mut redirected), None, "its connection ends");
    let users = LIMITS.connections - LIMITS.agent_connections - 1;
    let mut users: Vec<Client> = (0..users).map(|_| connect(addr)).collect();
    assert!(users.iter_mut().all(|u| has_status(200)(&get_health(u))));
    let mut refused = connect(addr);
    let response = read_response(&mut refused);
    assert!(
        response.is_none() || has_status(503)(&response),
        "{response:?}"
    );
    assert!(
        has_status(200)(&get_health(&mut health)),
        "open connections are still served"
    );
    assert!(agents.iter_mut().all(|a| has_status(200)(&post_report(a))));
    drop(agents);
    // The server notices closed connections some time later.
    let has_room = (0..1_000).any(|_| has_status(200)(&post_report(&mut connect(addr))));
    assert!(has_room, "a new agent is admitted");
}

#[test]
fn whole_split_chunked_and_pipelined_requests_are_read() {
    let addr = start();
    let mut client = connect(addr);
    let text = "POST /x HTTP/1.1\r\ncontent-length: 5\r\n\r\nhello";
    for part in text.as_bytes().chunks(7) {
        client.write_all(part).expect("the part is sent");
        std::thread::sleep(Duration::from_millis(2));
    }
    let hello = Some((200, "hello".to_string()));
    assert_eq!(read_response(&mut client), hello);
    let chunked = "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\
        2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n";
    assert_eq!(send_request(&mut client, chunked), hello);
    // The protocol does not require pipelining, but a thousand pipelined requests must do no harm.
    client
        .write_all(text.repeat(1_000).as_bytes())
        .expect("the requests are sent");
    assert!((0..1_000).all(|_| read_response(&mut client) == hello));
    let expects = text.replace("\r\n\r\n", "\r\nExpect: 100-continue\r\n\r\n");
    assert_eq!(send_request(&mut client, &expects), hello);
    let last = text.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
    assert_eq!(send_request(&mut client, &last), hello);
    assert_eq!(get_health(&mut client), None, "the connection has ended");
}

#[test]
fn malformed_and_oversized_requests_are_rejected() {
    let addr = start();
    let long = "POST /x HTTP/1.1\r\nContent-Length: 1001\r\n\r\n";
    let chunked = "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n";
    let size = "POST /x HTTP/1.1\r\nContent-Length: -1\r\n\r\n";
    let head = format!("GET /{} HTTP/1.1\r\n", "x".repeat(MAX_HEAD_BYTES));
    for text in [long, chunked, size, "\u{1}\u{2}\r\n\r\n", &head] {
        assert!(
            has_status(400)(&send_request(&mut connect(addr), text)),
            "{text:.40}"
        );
    }
}

/// Returns the state of the only connection.
fn state(server: &Server) -> Option<ConnectionState> {
    server.connections.get(0).map(|connection| connection.state)
}

fn set_state(server: &mut Server, state: ConnectionState) {
    server.connections.get_mut(0).expect("a connection").state = state;
}

/// A response must not be sent to a later request of the same connection, nor to another client in the same slot.
#[test]
fn late_responses_are_dropped() {
    let any = "127.0.0.1:0".parse().expect("an address");
    let (mut server, _) =
        Server::listen(any, ServerNumber(1), LIMITS, Arc::default()).expect("a listening server");
    let mut ids = Vec::new();
    let _client = connect(server.addr().expect("an address"));
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

/// Clients that send parts of requests must not use more memory than the limit, and other clients are still served.
#[test]
fn incomplete_requests_hold_bounded_memory() {
    let addr = start();
    let head = "POST /any HTTP/1.1\r\nContent-Length: 1000\r\n\r\n";
    let part = format!("{head}{}", "x".repeat(900));
    let send = |text: &str| {
        let mut client = connect(addr);
        client.write_all(text.as_bytes()).expect("the text is sent");
        // The pause makes the server read the requests in the order in which they are sent.
        std::thread::sleep(Duration::from_millis(50));
        client
    };
    let mut first: Vec<Client> = (0..3).map(|_| send(&part)).collect();
    let mut excess = send(&part);
    assert_eq!(
        read_response(&mut excess).map(|(status, _)| status),
        Some(503)
    );
    let mut complete = send("GET /any HTTP/1.1\r\n\r\n");
    assert_eq!(
        read_response(&mut complete).map(|(status, _)| status),
        Some(200)
    );
    for client in &mut first {
        client.write_all(&[b'x'; 100]).expect("the rest is sent");
        assert_eq!(read_response(client).map(|(status, _)| status), Some(200));
    }
    // The completed requests no longer count towards the limit.
    let mut later: Vec<Client> = (0..3).map(|_| send(&part)).collect();
    for client in &mut later {
        client.write_all(&[b'x'; 100]).expect("the rest is sent");
        assert_eq!(read_response(client).map(|(status, _)| status), Some(200));
    }
}
