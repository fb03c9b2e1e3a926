//! A minimal HTTP/1.1 server that responds with whole bodies or with chunked streams.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Time between two heartbeats on a stream.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Size of the read buffer. Longer requests are truncated; those of the proxy have a few hundred
/// bytes.
const MAX_REQUEST_BYTES: usize = 4096;

/// A response to a request.
pub(super) enum Response {
    /// A complete body; the connection stays open for further requests.
    Body(String),
    /// A chunked stream that does not end.
    Stream {
        /// Content type of the stream.
        content_type: &'static str,
        /// First chunk of the stream.
        first_chunk: String,
        /// Chunk that is sent after the first one and then every second.
        heartbeat: &'static str,
    },
}

/// Starts a server on loopback that runs until the process exits, and returns its address.
/// `respond` receives the first bytes of a request.
pub(super) fn start(
    respond: impl Fn(&str) -> Response + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    let respond = Arc::new(respond);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let respond = respond.clone();
            // Connection errors are ignored here; the proxy has to handle them.
            thread::spawn(move || drop(serve(stream, &*respond)));
        }
    });
    Ok(address)
}

fn serve(mut stream: TcpStream, respond: &dyn Fn(&str) -> Response) -> io::Result<()> {
    let mut buffer = [0; MAX_REQUEST_BYTES];
    loop {
        let length = stream.read(&mut buffer)?;
        if length == 0 {
            return Ok(());
        }
        match respond(&String::from_utf8_lossy(&buffer[..length])) {
            Response::Body(body) => stream.write_all(encode_response(&body).as_bytes())?,
            Response::Stream {
                content_type,
                first_chunk,
                heartbeat,
            } => {
                let head = encode_stream_head(content_type) + &encode_chunk(&first_chunk);
                stream.write_all(head.as_bytes())?;
                loop {
                    stream.write_all(encode_chunk(heartbeat).as_bytes())?;
                    thread::sleep(HEARTBEAT_INTERVAL);
                }
            }
        }
    }
}

fn encode_response(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn encode_stream_head(content_type: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: {content_type}\r\n\r\n")
}

fn encode_chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
