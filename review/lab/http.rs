//! A small HTTP/1.1 server (a thread for each connection), a client, and a proxy that can hold a link's bytes back.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct Req {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub body: String,
}

pub enum Reply {
    Json(u16, String),
    /// Closes the connection without an answer.
    Close,
}

pub type Handler = Arc<dyn Fn(&Req) -> Reply + Send + Sync>;

pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free loopback port")
}

pub fn serve(listener: TcpListener, ended: Arc<AtomicBool>, handler: Handler) -> SocketAddr {
    let addr = listener.local_addr().expect("an address");
    listener.set_nonblocking(true).expect("non-blocking");
    std::thread::spawn(move || {
        while !ended.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let (handler, ended) = (handler.clone(), ended.clone());
                    std::thread::spawn(move || connection(stream, &ended, &handler));
                }
                Err(_) => std::thread::sleep(Duration::from_millis(1)),
            }
        }
    });
    addr
}

fn connection(mut stream: TcpStream, ended: &AtomicBool, handler: &Handler) {
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
    let mut bytes = Vec::new();
    let mut part = vec![0; 64 * 1024];
    loop {
        if let Some((request, used)) = parse(&bytes) {
            bytes.drain(..used);
            if ended.load(Ordering::SeqCst) {
                return;
            }
            let Reply::Json(status, body) = handler(&request) else {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            };
            if ended.load(Ordering::SeqCst) {
                return;
            }
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        match stream.read(&mut part) {
            Ok(0) => return,
            Ok(n) => bytes.extend_from_slice(&part[..n]),
            Err(e) if is_timeout(&e) => {
                if ended.load(Ordering::SeqCst) {
                    return;
                }
            }
            Err(_) => return,
        }
    }
}

fn is_timeout(e: &std::io::Error) -> bool {
    use std::io::ErrorKind::*;
    matches!(e.kind(), WouldBlock | TimedOut | Interrupted)
}

fn head_of(bytes: &[u8]) -> Option<(String, usize)> {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n")?;
    Some((String::from_utf8_lossy(&bytes[..end]).into_owned(), end + 4))
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|line| {
        let (k, v) = line.split_once(':')?;
        k.trim().eq_ignore_ascii_case(name).then(|| v.trim())
    })
}

fn parse(bytes: &[u8]) -> Option<(Req, usize)> {
    let (head, start) = head_of(bytes)?;
    let length: usize = header(&head, "content-length").map_or(0, |v| v.parse().unwrap_or(0));
    if bytes.len() < start + length {
        return None;
    }
    let mut first = head.lines().next()?.split(' ');
    let (method, url) = (first.next()?.to_string(), first.next()?.to_string());
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    let query = (query.split('&').filter_map(|p| p.split_once('=')))
        .map(|(k, v)| (k.to_string(), v.to_string()))
        .collect();
    let body = String::from_utf8_lossy(&bytes[start..start + length]).into_owned();
    Some((Req { method, path: path.to_string(), query, body }, start + length))
}

/// Sends one request on a connection of its own. None: no connection, or no response in time.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let until = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&addr, limit.min(Duration::from_millis(500))).ok()?;
    let _ = stream.set_nodelay(true);
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    let mut part = vec![0; 64 * 1024];
    loop {
        if let Some((head, start)) = head_of(&bytes) {
            let length: usize = header(&head, "content-length")?.parse().ok()?;
            if bytes.len() >= start + length {
                let status = head.split(' ').nth(1)?.parse().ok()?;
                let body = String::from_utf8_lossy(&bytes[start..start + length]).into_owned();
                return Some((status, body));
            }
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return None;
        }
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut part) {
            Ok(0) => return None,
            Ok(n) => bytes.extend_from_slice(&part[..n]),
            Err(_) => return None,
        }
    }
}

/// One direction of calls between two hosts. While it is cut, connections hang and bytes are held back.
pub struct Link {
    pub addr: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Link {
    pub fn to(target: SocketAddr, ended: Arc<AtomicBool>) -> Self {
        let listener = listen();
        let addr = listener.local_addr().expect("an address");
        let cut = Arc::new(AtomicBool::new(false));
        let is_cut = cut.clone();
        listener.set_nonblocking(true).expect("non-blocking");
        std::thread::spawn(move || {
            while !ended.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((client, _)) => {
                        let (ended, is_cut) = (ended.clone(), is_cut.clone());
                        std::thread::spawn(move || relay(client, target, &ended, &is_cut));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Self { addr, cut }
    }
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
}

fn relay(client: TcpStream, target: SocketAddr, ended: &Arc<AtomicBool>, cut: &Arc<AtomicBool>) {
    while cut.load(Ordering::SeqCst) && !ended.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(5));
    }
    let Ok(server) = TcpStream::connect_timeout(&target, Duration::from_millis(500)) else {
        let _ = client.shutdown(Shutdown::Both);
        return;
    };
    let (Ok(client2), Ok(server2)) = (client.try_clone(), server.try_clone()) else {
        return;
    };
    let (ended2, cut2) = (ended.clone(), cut.clone());
    std::thread::spawn(move || pump(client2, server2, &ended2, &cut2));
    pump(server, client, ended, cut);
}

fn pump(mut from: TcpStream, mut to: TcpStream, ended: &AtomicBool, cut: &AtomicBool) {
    let _ = from.set_nonblocking(false);
    let _ = to.set_nodelay(true);
    let _ = from.set_read_timeout(Some(Duration::from_millis(20)));
    let mut part = vec![0; 64 * 1024];
    while !ended.load(Ordering::SeqCst) {
        if cut.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(5));
            continue;
        }
        match from.read(&mut part) {
            Ok(0) => break,
            Ok(n) => {
                while cut.load(Ordering::SeqCst) && !ended.load(Ordering::SeqCst) {
                    std::thread::sleep(Duration::from_millis(5));
                }
                if to.write_all(&part[..n]).is_err() {
                    break;
                }
            }
            Err(e) if is_timeout(&e) => {}
            Err(_) => break,
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
