//! Stand-ins for endpoints, discovery and the platform, which act by themselves.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use super::protocol::{error, message, next, read_to, row};

/// What a stand-in endpoint does with a query.
pub enum EndpointAction {
    Row(Vec<u8>),
    Error(&'static str),
    Silence,
    Close,
    Bytes(&'static [u8]),
    /// A good row, then this load report, then these bytes, which belong to no response.
    RowThen(&'static [u8], &'static [u8]),
}

/// What a stand-in has received.
pub type Notes = Arc<Mutex<Vec<String>>>;

/// Starts an endpoint that acts by the query's index. Notes each query and, where a connection ends while one is in
/// flight, `gone`.
pub fn start_endpoint(
    act: impl Fn(usize) -> EndpointAction + Send + Sync + 'static,
) -> (SocketAddr, Notes) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let notes = Notes::default();
    let act = Arc::new(act);
    let noted = notes.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (noted, act) = (noted.clone(), act.clone());
            thread::spawn(move || serve(stream, &noted, &*act));
        }
    });
    (addr, notes)
}

/// One connection of an endpoint's.
pub fn serve(
    mut stream: TcpStream,
    noted: &Notes,
    act: &dyn Fn(usize) -> EndpointAction,
) -> Option<()> {
    let mut bytes = Vec::new();
    read_to(&mut stream, &mut bytes, 4).then_some(())?;
    let len = u32::from_be_bytes(bytes[..4].try_into().unwrap()) as usize;
    read_to(&mut stream, &mut bytes, len).then_some(())?;
    bytes.drain(..len);
    stream
        .write_all(&[message(b'R', &[0; 4]), message(b'Z', b"I")].concat())
        .ok()?;
    while let Some((b'Q', body)) = next(&mut stream, &mut bytes) {
        let n = {
            let mut noted = noted.lock().unwrap();
            noted.push(String::from_utf8(body[..body.len() - 1].to_vec()).unwrap());
            noted.len() - 1
        };
        let answer = match act(n) {
            EndpointAction::Row(value) => row(&value),
            EndpointAction::Error(code) => error(code),
            EndpointAction::Bytes(bytes) => bytes.to_vec(),
            EndpointAction::RowThen(report, more) => {
                let all = [
                    row(&[5]),
                    message(b'S', report),
                    message(b'Z', b"I"),
                    more.to_vec(),
                ]
                .concat();
                stream.write_all(&all).ok()?;
                continue;
            }
            EndpointAction::Close => {
                // At once, also while a process that is being started holds a copy of the socket.
                stream.shutdown(Shutdown::Both).ok()?;
                return None;
            }
            EndpointAction::Silence => {
                read_to(&mut stream, &mut bytes, usize::MAX);
                noted.lock().unwrap().push("gone".into());
                return None;
            }
        };
        // The report comes after the answer, as it may.
        let after = [
            message(b'S', b"vitals\0inflight=7,queue=2\0"),
            message(b'Z', b"I"),
        ]
        .concat();
        stream.write_all(&[answer, after].concat()).ok()?;
    }
    Some(())
}

/// Starts a server that answers each request and keeps the connection; notes the requests.
pub fn start_http_server(
    answer: impl Fn(&str) -> String + Send + Sync + 'static,
) -> (SocketAddr, Notes) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let notes = Notes::default();
    let answer = Arc::new(answer);
    let noted = notes.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (notes, answer) = (notes.clone(), answer.clone());
            thread::spawn(move || {
                let mut some = [0; 4096];
                while let Ok(n @ 1..) = stream.read(&mut some) {
                    let asked = String::from_utf8_lossy(&some[..n]).to_string();
                    // Noted first: whoever has the answer may look for it.
                    notes.lock().unwrap().push(asked.clone());
                    let _ = stream.write_all(answer(&asked).as_bytes());
                }
            });
        }
    });
    (addr, noted)
}
