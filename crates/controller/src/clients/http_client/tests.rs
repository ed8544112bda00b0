use super::*;
use std::io::{Read, Write};
use std::net::TcpListener;

fn test_client() -> Agent {
    http_client(CallLimits::new(
        Duration::from_secs(2),
        Duration::from_secs(5),
    ))
}

/// Answers one request on one connection with a body of `bytes` bytes.
fn serve_once(bytes: usize) -> (SocketAddr, std::thread::JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listening socket");
    let addr = listener.local_addr().expect("an address");
    let served = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = [0; 4_096];
        let read = stream.read(&mut request).expect("a request");
        assert!(read > 0);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {bytes}\r\n\r\n");
        stream.write_all(head.as_bytes()).expect("a head");
        stream.write_all(&vec![b'x'; bytes]).expect("a body");
    });
    (addr, served)
}

/// The connection's buffer limits the head of a response, not its body.
#[test]
fn a_body_longer_than_the_buffer_is_read_whole() {
    let (addr, served) = serve_once(50 * BUFFER_BYTES);
    let mut response = test_client()
        .get(format!("http://{addr}/"))
        .call()
        .expect("a response");
    let body = response.body_mut().read_to_vec().expect("a body");
    assert_eq!(body.len(), 50 * BUFFER_BYTES);
    served.join().expect("the server thread ends");
}

/// With the library's resolver, each call with a time limit started a thread to resolve its host: about sixty system
/// calls and 2 MiB of address space for an address that the URL already contains.
#[test]
fn an_address_is_taken_from_the_url() {
    let uri: Uri = "http://10.1.2.3:8081/peer/reports".parse().expect("a URL");
    let never = NextTimeout::default();
    let found = IpResolver
        .resolve(&uri, &Config::default(), never)
        .expect("an address");
    assert_eq!(&found[..], &["10.1.2.3:8081".parse().expect("an address")]);
}

/// A host name fails at once instead of being resolved.
#[test]
fn host_names_are_not_looked_up() {
    for url in ["http://localhost:80/", "http://10.1.2.3/", "http://[::1/"] {
        let error = test_client().get(url).call().expect_err("no such host");
        let refused = matches!(
            error,
            Error::HostNotFound | Error::BadUri(_) | Error::Http(_)
        );
        assert!(refused, "{url}: {error}");
    }
}
