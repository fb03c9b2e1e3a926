//! Stand-in HTTP servers for discovery and the platform, and their responses.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;

/// The head of a response with a chunked body. It starts a stream, whose last chunk is never sent.
pub const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// One chunk of a chunked body.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// The start of a stream: its head and its first chunk.
pub fn stream_with_chunk(text: &str) -> String {
    format!("{CHUNKED_HEAD}{}", chunk(text))
}

/// A response with this body.
pub fn response_with_body(body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// A stand-in HTTP server that runs until the test process exits.
pub struct HttpServer {
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
}

impl HttpServer {
    /// Starts a server that sends the text returned by `respond` for each request and keeps the
    /// connection open.
    pub fn start(respond: impl Fn(&str) -> String + Send + Sync + 'static) -> HttpServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let respond = Arc::new(respond);
        let recorded = requests.clone();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let (requests, respond) = (recorded.clone(), respond.clone());
                thread::spawn(move || {
                    let mut buffer = [0; 4096];
                    while let Ok(length @ 1..) = stream.read(&mut buffer) {
                        let request = String::from_utf8_lossy(&buffer[..length]).to_string();
                        // Recorded before the response is sent, so that a test that has received
                        // the response finds the request.
                        requests.lock().unwrap().push(request.clone());
                        let _ = stream.write_all(respond(&request).as_bytes());
                    }
                });
            }
        });
        HttpServer { address, requests }
    }

    /// Starts a server that accepts requests and never responds.
    pub fn unresponsive() -> HttpServer {
        HttpServer::start(|_| String::new())
    }

    /// Starts a discovery service that sends this endpoint list to each instance.
    pub fn discovery(list: String) -> HttpServer {
        HttpServer::start(move |_| stream_with_chunk(&format!("{list}\n")))
    }

    /// Starts a platform that announces build 42 as canary and responds to votes with a stage with
    /// this status and traffic cap.
    pub fn platform_with_canary(status: &'static str, cap: &'static str) -> HttpServer {
        HttpServer::start(move |request| {
            if request.starts_with("GET /bulletin ") {
                return stream_with_chunk(
                    "event: stage\n\
                     data: version=42&step=1&status=trial&maxWeight=1.0&observedAgoMs=10\n\n",
                );
            }
            response_with_body(&format!(
                "<Response><groups><item><version>42</version><step>1</step>\
                 <status>{status}</status><maxWeight>{cap}</maxWeight>\
                 <observedAgoMs>1</observedAgoMs></item></groups></Response>"
            ))
        })
    }

    /// The requests received so far.
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }
}
