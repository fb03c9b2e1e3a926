//! Small stand-ins on loopback for what a front meets: machines, discovery, the platform, clients. Bytes are made
//! here from the protocol's pages and not by the front's codecs.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    [&[tag][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

/// The next message's type and body; of an opening the type is 0.
fn read_message(stream: &mut TcpStream, opening: bool) -> io::Result<(u8, Vec<u8>)> {
    let mut tag = [0];
    if !opening {
        stream.read_exact(&mut tag)?;
    }
    let mut len = [0; 4];
    stream.read_exact(&mut len)?;
    let mut body = vec![0; (u32::from_be_bytes(len) as usize).clamp(4, 1 << 20) - 4];
    stream.read_exact(&mut body)?;
    Ok((tag[0], body))
}

/// What a machine does, changed while it runs.
#[derive(Default)]
pub struct Manner {
    pub delay_ms: AtomicU64,
    /// Of a hundred reqs, so many get an error.
    pub errors: AtomicU64,
    pub silent: AtomicBool,
    pub reqs: AtomicU64,
}

pub struct Machine {
    pub addr: SocketAddr,
    pub manner: Arc<Manner>,
}

impl Machine {
    pub fn start(delay_ms: u64) -> io::Result<Machine> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let (addr, manner) = (listener.local_addr()?, Arc::new(Manner::default()));
        manner.delay_ms.store(delay_ms, Relaxed);
        let shared = manner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let manner = shared.clone();
                thread::spawn(move || drop(serve(stream, &manner)));
            }
        });
        Ok(Machine { addr, manner })
    }
}

fn serve(mut stream: TcpStream, manner: &Manner) -> io::Result<()> {
    stream.set_nodelay(true)?;
    read_message(&mut stream, true)?;
    stream.write_all(&[message(b'R', &[0; 4]), message(b'Z', b"I")].concat())?;
    loop {
        let (tag, body) = read_message(&mut stream, false)?;
        if tag != b'Q' {
            return Ok(());
        }
        let probe = body.starts_with(b"SELECT 1");
        let number = if probe {
            0
        } else {
            manner.reqs.fetch_add(1, Relaxed)
        };
        if manner.silent.load(Relaxed) {
            thread::sleep(Duration::from_secs(60));
            return Ok(());
        }
        // Between three quarters and five quarters of its delay, by the number of the req.
        let delay = manner.delay_ms.load(Relaxed) * 1000;
        let took = if probe {
            300
        } else {
            delay * 3 / 4 + delay / 2 * (number * 7 % 16) / 16
        };
        thread::sleep(Duration::from_micros(took));
        let answer = if !probe && number * 37 % 100 < manner.errors.load(Relaxed) {
            message(b'E', b"SERROR\0CXX000\0Mno\0\0")
        } else {
            let field = [
                &b"data\0"[..],
                &[0; 6],
                &17u32.to_be_bytes(),
                &[0xff; 6],
                &[0, 1],
            ]
            .concat();
            let described = message(b'T', &[&[0, 1][..], &field].concat());
            let row = message(b'D', &[0, 1, 0, 0, 0, 1, 5]);
            [described, row, message(b'C', b"SELECT 1\0")].concat()
        };
        stream.write_all(&[answer, message(b'Z', b"I")].concat())?;
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Answers each connection's first lines by `answer`; what it returns with `true` stays open as a stream of
/// chunks, with `beat` once a second.
fn http(
    answer: impl Fn(&str) -> (String, bool) + Send + Sync + 'static,
    beat: &'static str,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let (addr, answer) = (listener.local_addr()?, Arc::new(answer));
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                let mut some = [0; 4096];
                while let Ok(n @ 1..) = stream.read(&mut some) {
                    let (text, streams) = answer(&String::from_utf8_lossy(&some[..n]));
                    if stream.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                    if streams {
                        while stream.write_all(chunk(beat).as_bytes()).is_ok() {
                            thread::sleep(Duration::from_secs(1));
                        }
                        return;
                    }
                }
            });
        }
    });
    Ok(addr)
}

const STREAM: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: ";

/// One list for good, as a watch tells it.
pub fn discovery(listing: String) -> io::Result<SocketAddr> {
    let line = chunk(&format!("{listing}\n"));
    http(
        move |_| (format!("{STREAM}application/json\r\n\r\n{line}"), true),
        "\n",
    )
}

/// The newest build's state, and when votes to send it back came.
pub struct Platform {
    pub addr: SocketAddr,
    pub rejects: Arc<Mutex<Vec<Instant>>>,
}

impl Platform {
    pub fn start(build: u32, step: u32, status: &'static str, cap: f64) -> io::Result<Platform> {
        let rejects: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let seen = rejects.clone();
        let answer = move |asked: &str| {
            if asked.starts_with("GET") {
                let data = format!(
                    "version={build}&step={step}&status={status}&maxWeight={cap}&observedAgoMs=4000"
                );
                let event = chunk(&format!("event: stage\ndata: {data}\n\n"));
                return (format!("{STREAM}text/event-stream\r\n\r\n{event}"), true);
            }
            if asked.contains("vote=reject") {
                seen.lock().unwrap().push(Instant::now());
            }
            let item = format!(
                "<version>{build}</version><step>{step}</step><status>{status}</status>\
                 <maxWeight>{cap}</maxWeight><observedAgoMs>4000</observedAgoMs>"
            );
            let body = format!(
                "<?xml version=\"1.0\"?><Response><groups><item>{item}</item></groups></Response>"
            );
            (
                format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                ),
                false,
            )
        };
        Ok(Platform {
            addr: http(answer, ":\n")?,
            rejects,
        })
    }
}

/// One req's beginning, and how long its answer took; none where it had none, or an error.
pub type Answered = (Instant, Option<Duration>);

/// A client that asks every `every` until told to stop.
pub fn client(
    front: SocketAddr,
    number: u64,
    every: Duration,
    stop: Arc<AtomicBool>,
) -> Vec<Answered> {
    let (mut all, mut stream, mut next) = (Vec::new(), None, Instant::now());
    let mut asked = 0u64;
    while !stop.load(Relaxed) {
        thread::sleep(next.saturating_duration_since(Instant::now()));
        next = (next + every).max(Instant::now());
        let begun = Instant::now();
        asked += 1;
        let id = number << 32 | asked;
        let answered = ask(&mut stream, front, id);
        if answered.is_err() {
            stream = None;
        }
        all.push((
            begun,
            answered.ok().filter(|good| *good).map(|_| begun.elapsed()),
        ));
    }
    all
}

fn ask(stream: &mut Option<TcpStream>, front: SocketAddr, id: u64) -> io::Result<bool> {
    let kept = stream.take();
    let fresh = kept.is_none();
    let mut s = match kept {
        Some(s) => s,
        None => {
            let mut s = TcpStream::connect_timeout(&front, Duration::from_millis(500))?;
            s.set_nodelay(true)?;
            s.set_read_timeout(Some(Duration::from_millis(1500)))?;
            let body = [
                &196_608u32.to_be_bytes()[..],
                b"user\0portal\0database\0crm\0\0",
            ]
            .concat();
            s.write_all(&[&(body.len() as u32 + 4).to_be_bytes()[..], &body].concat())?;
            while read_message(&mut s, false)?.0 != b'Z' {}
            s
        }
    };
    let text = format!(
        "SELECT data FROM facts WHERE code = '{id:016x}' /* id={id:016x},c=look,d=1200 */\0"
    );
    let mut good = None;
    let mut exchange = || -> io::Result<bool> {
        s.write_all(&message(b'Q', text.as_bytes()))?;
        loop {
            match read_message(&mut s, false)?.0 {
                b'C' => good = Some(true),
                b'E' => good = Some(false),
                b'Z' => return Ok(good.unwrap_or(false)),
                _ => {}
            }
        }
    };
    match exchange() {
        // A connection that rested may have been closed meanwhile: once more on a new one.
        Err(_) if !fresh && good.is_none() => ask(&mut None, front, id).inspect(|_| {}),
        Err(e) => Err(e),
        Ok(good) => {
            *stream = Some(s);
            Ok(good)
        }
    }
}
