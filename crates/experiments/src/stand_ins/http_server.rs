//! A server for HTTP/1.1 that answers whole bodies and streams of chunks.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Time between two heartbeats of a stream.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Requests that are longer are cut off; those of the proxy are a few hundred bytes.
const LONGEST_REQUEST: usize = 4096;

/// An answer to a request.
pub(super) enum Answer {
    /// A whole body; the connection waits for another request.
    Body(String),
    /// A stream that begins with this chunk and stays open.
    Stream {
        /// Its content type.
        content_type: &'static str,
        /// Its first chunk.
        first_chunk: String,
        /// What is sent once a second from then on.
        heartbeat: &'static str,
    },
}

/// Answers requests on loopback until the process ends; `answer` sees a request's first bytes.
pub(super) fn start(
    answer: impl Fn(&str) -> Answer + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            // A connection that breaks is the proxy's to notice.
            thread::spawn(move || drop(serve(stream, &*answer)));
        }
    });
    Ok(address)
}

fn serve(mut stream: TcpStream, answer: &dyn Fn(&str) -> Answer) -> io::Result<()> {
    let mut buffer = [0; LONGEST_REQUEST];
    loop {
        let length = stream.read(&mut buffer)?;
        if length == 0 {
            return Ok(());
        }
        match answer(&String::from_utf8_lossy(&buffer[..length])) {
            Answer::Body(body) => stream.write_all(with_length(&body).as_bytes())?,
            Answer::Stream {
                content_type,
                first_chunk,
                heartbeat,
            } => {
                let head = stream_head(content_type) + &chunk(&first_chunk);
                stream.write_all(head.as_bytes())?;
                loop {
                    stream.write_all(chunk(heartbeat).as_bytes())?;
                    thread::sleep(HEARTBEAT_INTERVAL);
                }
            }
        }
    }
}

fn with_length(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn stream_head(content_type: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: {content_type}\r\n\r\n")
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
