//! Clients that send small or invalid messages without pause, on one connection or on ever new ones:
//! the requests of other clients, and the memory of the process.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::common::*;
use crate::run_alone;
use crate::steady_clients::{
    MakeQuery, SteadyClients, assert_served_in_time, print_summary, small_query,
};

const MEMORY_LIMIT_MB: usize = 32;
/// The operators allow some megabytes of growth in the second half of a run.
const MAX_GROWTH_KIB: usize = 4 * 1024;
/// How long each flood lasts.
const FLOOD_TIME: Duration = Duration::from_secs(2);
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// How long a client waits in a read or a write before it looks whether it has to stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of messages that a client sends in one write.
const MESSAGES_PER_WRITE: u64 = 500;
/// Request ids of the steady clients; those of the floods are longer.
const FIRST_STEADY_ID: u32 = 1 << 24;

/// Whether a flooding client reads the responses.
#[derive(Clone, Copy, Debug)]
enum Responses {
    Read,
    Unread,
}

/// How a flooding client uses connections.
#[derive(Clone, Copy, Debug)]
enum Connections {
    /// One for as long as the proxy keeps it.
    Kept,
    /// A new one for each message.
    OneEach,
}

/// What a flooding client sends.
#[derive(Clone, Copy, Debug)]
struct Flood {
    name: &'static str,
    connections: Connections,
    /// Builds the message with a number, which no other message has.
    message: fn(u64) -> Vec<u8>,
}

/// A statement with a route and a time limit, and an id that no other one has.
fn flood_query(route: &str, time_limit: &str, number: u64) -> Vec<u8> {
    statement(&format!(
        "SELECT data FROM facts WHERE code = '7f3a' /* id=f100d{number:011x},c={route},d={time_limit} */"
    ))
}

/// A startup message with this user and database.
fn startup_of(user: &str, database: &str) -> Vec<u8> {
    let parameters = format!("user\0{user}\0database\0{database}\0\0");
    let length = 8 + parameters.len() as u32;
    let head = [length.to_be_bytes(), postgres_version()].concat();
    [&head, parameters.as_bytes()].concat()
}

fn postgres_version() -> [u8; 4] {
    tidescale_proxy::postgres::framing::PROTOCOL_VERSION.to_be_bytes()
}

const FLOODS: [Flood; 7] = [
    Flood {
        name: "empty queries",
        connections: Connections::Kept,
        message: |_| statement(""),
    },
    Flood {
        name: "valid statements",
        connections: Connections::Kept,
        message: |number| flood_query("look", "900", number),
    },
    Flood {
        name: "statements of another form",
        connections: Connections::Kept,
        message: |number| statement(&format!("SELECT {number}")),
    },
    Flood {
        name: "ever new routes",
        connections: Connections::Kept,
        message: |number| flood_query(&format!("route-{number}"), "900", number),
    },
    Flood {
        name: "invalid time limits",
        connections: Connections::Kept,
        message: |number| flood_query("look", &format!("{number}x"), number),
    },
    Flood {
        name: "unknown messages",
        connections: Connections::Kept,
        message: |_| message(b'!', b""),
    },
    Flood {
        name: "ever new users and databases",
        connections: Connections::OneEach,
        message: |number| startup_of(&format!("user-{number}"), &format!("database-{number}")),
    },
];

/// Sends on one connection until it ends or the flood is stopped.
fn flood_connection(mut stream: TcpStream, flood: Flood, next: &mut u64, is_stopped: &AtomicBool) {
    stream.set_write_timeout(Some(STOP_CHECK_INTERVAL)).unwrap();
    let mut bytes = startup();
    while !is_stopped.load(Ordering::Relaxed) {
        let mut rest = &bytes[..];
        while !rest.is_empty() && !is_stopped.load(Ordering::Relaxed) {
            match stream.write(rest) {
                Ok(written) => rest = &rest[written..],
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
        let numbers = *next..*next + MESSAGES_PER_WRITE;
        *next = numbers.end;
        bytes = numbers.flat_map(flood.message).collect();
    }
}

/// Reads and discards until the connection ends.
fn drain(mut stream: TcpStream) -> JoinHandle<()> {
    thread::spawn(move || {
        let mut bytes = [0; 16_384];
        while stream.read(&mut bytes).is_ok_and(|count| count > 0) {}
    })
}

/// Sends messages with numbers from `first` on, on one connection after another, until stopped.
fn run_flood(
    address: SocketAddr,
    flood: Flood,
    responses: Responses,
    first: u64,
    is_stopped: &AtomicBool,
) {
    let mut next = first;
    while !is_stopped.load(Ordering::Relaxed) {
        let mut stream = TcpStream::connect(address).unwrap();
        match (flood.connections, responses) {
            (Connections::OneEach, _) => {
                next += 1;
                let _ = stream.write_all(&(flood.message)(next));
                if matches!(responses, Responses::Read) {
                    let _ = stream.read(&mut [0; 512]);
                }
            }
            (Connections::Kept, Responses::Read) => {
                let reader = drain(stream.try_clone().unwrap());
                flood_connection(stream.try_clone().unwrap(), flood, &mut next, is_stopped);
                let _ = stream.shutdown(Shutdown::Both);
                reader.join().unwrap();
            }
            (Connections::Kept, Responses::Unread) => {
                flood_connection(stream, flood, &mut next, is_stopped);
            }
        }
    }
}

/// The private memory of the proxy in KiB during a flood.
struct MemoryUse {
    highest_in_first_half: usize,
    highest_in_second_half: usize,
}

fn observe_memory(proxy: &mut RunningProxy) -> MemoryUse {
    let checks = FLOOD_TIME.as_millis() / MEMORY_CHECK_INTERVAL.as_millis();
    let mut highest_in_half = || {
        let memory = (0..checks / 2).map(|_| {
            thread::sleep(MEMORY_CHECK_INTERVAL);
            assert_eq!(proxy.child.try_wait().unwrap(), None, "the proxy exited");
            private_memory_kib(proxy.child.id())
        });
        memory.max().unwrap()
    };
    MemoryUse {
        highest_in_first_half: highest_in_half(),
        highest_in_second_half: highest_in_half(),
    }
}

/// Runs every flood on so many connections at once, beside steady clients.
fn assert_floods_do_not_disturb(connections: u64, make_query: MakeQuery) {
    let endpoint = TestEndpoint::responsive();
    let config = ProxyConfig::new()
        .endpoint(endpoint.address)
        .memory_mb(MEMORY_LIMIT_MB)
        .sockets(256)
        .long_deadline();
    for flood in FLOODS {
        for responses in [Responses::Read, Responses::Unread] {
            let mut proxy = start_proxy(&config);
            let steady = SteadyClients::start(proxy.address, FIRST_STEADY_ID, make_query);
            let is_stopped = Arc::new(AtomicBool::new(false));
            let address = proxy.address;
            let start_flood = |index| {
                let is_stopped = is_stopped.clone();
                let first = index << 32;
                thread::spawn(move || run_flood(address, flood, responses, first, &is_stopped))
            };
            let threads: Vec<_> = (0..connections).map(start_flood).collect();

            let memory = observe_memory(&mut proxy);
            is_stopped.store(true, Ordering::Relaxed);
            let answers = steady.finish();
            for thread in threads {
                thread.join().unwrap();
            }

            let MemoryUse {
                highest_in_first_half: first,
                highest_in_second_half: second,
            } = memory;
            println!(
                "{}, {responses:?}: memory {first} KiB, then {second} KiB",
                flood.name
            );
            print_summary(&answers);
            assert!(
                second < MEMORY_LIMIT_MB * 1024,
                "{}: {second} KiB",
                flood.name
            );
            assert!(
                second < first + MAX_GROWTH_KIB,
                "{}: {first}, {second}",
                flood.name
            );
            assert_served_in_time(&answers);
        }
    }
}

/// Guards against a client that sends without pause on one connection: others were answered late or
/// never, or memory grew.
#[test]
fn flood_on_one_connection_does_not_delay_other_clients_or_use_up_memory() {
    let _alone = run_alone();
    assert_floods_do_not_disturb(1, small_query);
}

/// Guards against the same from several clients at once, beside large requests of others.
#[test]
fn floods_on_several_connections_do_not_delay_large_requests_or_use_up_memory() {
    let _alone = run_alone();
    assert_floods_do_not_disturb(4, |id, time_limit_ms| {
        let value = "ab".repeat(16_384);
        statement(&format!(
            "INSERT INTO facts (code, data) VALUES ('7f3a', '\\x{value}') \
             RETURNING data /* id={id:x},c=look,d={time_limit_ms} */"
        ))
    });
}
