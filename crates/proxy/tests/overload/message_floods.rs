//! Clients that send small or invalid messages without pause, on one connection or on ever new ones:
//! the requests of other clients, and the memory of the process.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::common::*;
use crate::memory::{MEMORY_LIMIT_MB, assert_below_memory_limit, highest_memory_kib};
use crate::run_alone;
use crate::steady_clients::{
    MakeQuery, SteadyClients, assert_served_in_time, print_summary, small_query,
};

/// The operators allow some megabytes of growth in the second half of a run.
const MAX_GROWTH_KIB: usize = 4 * 1024;
/// How long each flood lasts.
const FLOOD_TIME: Duration = Duration::from_secs(2);
/// How long a client waits in a read or a write before it looks whether it has to stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);
const RECONNECT_DELAY: Duration = Duration::from_millis(10);
/// Number of messages that a client sends in one write.
const MESSAGES_PER_WRITE: u64 = 500;
/// Request ids of the steady clients; those of the floods are longer.
const FIRST_STEADY_ID: u32 = 1 << 24;

/// Whether a flooding client reads the responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
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

/// A client that sends until it is stopped.
#[derive(Clone)]
struct FloodClient {
    address: SocketAddr,
    flood: Flood,
    responses: Responses,
    /// The number of its first message.
    first: u64,
    is_stopped: Arc<AtomicBool>,
}

impl FloodClient {
    /// Sends messages on one connection after another.
    fn run(&self) {
        let mut next = self.first;
        while !self.is_stopped.load(Ordering::Relaxed) {
            // All ports may be in use for some time after very many connections.
            let Ok(stream) = TcpStream::connect(self.address) else {
                thread::sleep(RECONNECT_DELAY);
                continue;
            };
            match self.flood.connections {
                Connections::OneEach => self.send_one(stream, &mut next),
                Connections::Kept => self.send_all(stream, &mut next),
            }
        }
    }

    fn send_one(&self, mut stream: TcpStream, next: &mut u64) {
        *next += 1;
        let _ = stream.write_all(&(self.flood.message)(*next));
        if self.responses == Responses::Read {
            let _ = stream.read(&mut [0; 512]);
        }
    }

    fn send_all(&self, stream: TcpStream, next: &mut u64) {
        let reader =
            (self.responses == Responses::Read).then(|| drain(stream.try_clone().unwrap()));
        flood_connection(
            stream.try_clone().unwrap(),
            self.flood,
            next,
            &self.is_stopped,
        );
        let _ = stream.shutdown(Shutdown::Both);
        if let Some(reader) = reader {
            reader.join().unwrap();
        }
    }
}

/// What runs besides the steady clients.
#[derive(Clone, Copy)]
struct Scenario {
    /// Number of flooding clients.
    clients: u64,
    /// Builds the requests of the steady clients.
    make_query: MakeQuery,
}

/// Runs every flood beside steady clients.
fn assert_floods_do_not_disturb(scenario: Scenario) {
    let endpoint = TestEndpoint::responsive();
    let config = ProxyConfig::new()
        .endpoint(endpoint.address)
        .memory_mb(MEMORY_LIMIT_MB)
        .sockets(256)
        .long_deadline();
    for flood in FLOODS {
        for responses in [Responses::Read, Responses::Unread] {
            println!("{}, {responses:?}", flood.name);
            let mut proxy = start_proxy(&config);
            let client = FloodClient {
                address: proxy.address,
                flood,
                responses,
                first: 0,
                is_stopped: Arc::default(),
            };
            assert_flood_does_not_disturb(&mut proxy, &client, scenario);
        }
    }
}

fn assert_flood_does_not_disturb(
    proxy: &mut RunningProxy,
    client: &FloodClient,
    scenario: Scenario,
) {
    let steady = SteadyClients::start(proxy.address, FIRST_STEADY_ID, scenario.make_query);
    let start = |index: u64| {
        let client = FloodClient {
            first: index << 32,
            ..client.clone()
        };
        thread::spawn(move || client.run())
    };
    let threads: Vec<JoinHandle<()>> = (0..scenario.clients).map(start).collect();

    let highest_in_first_half = highest_memory_kib(proxy, FLOOD_TIME / 2);
    let highest_in_second_half = highest_memory_kib(proxy, FLOOD_TIME / 2);
    client.is_stopped.store(true, Ordering::Relaxed);
    let responses = steady.finish();
    for thread in threads {
        thread.join().unwrap();
    }

    println!("highest memory: {highest_in_first_half} KiB, then {highest_in_second_half} KiB");
    print_summary(&responses);
    assert_below_memory_limit(highest_in_second_half);
    assert!(highest_in_second_half < highest_in_first_half + MAX_GROWTH_KIB);
    assert_served_in_time(&responses);
}

/// Guards against a client that sends without pause on one connection: others were answered late or
/// never, or memory grew.
#[test]
fn flood_on_one_connection_does_not_delay_other_clients_or_use_up_memory() {
    let _alone = run_alone();
    assert_floods_do_not_disturb(Scenario {
        clients: 1,
        make_query: small_query,
    });
}

/// Guards against the same from several clients, beside large requests of others.
#[test]
fn floods_on_several_connections_do_not_delay_large_requests_or_use_up_memory() {
    let _alone = run_alone();
    assert_floods_do_not_disturb(Scenario {
        clients: 4,
        make_query: |id, time_limit_ms| {
            let value = "ab".repeat(16_384);
            statement(&format!(
                "INSERT INTO facts (code, data) VALUES ('7f3a', '\\x{value}') \
                 RETURNING data /* id={id:x},c=look,d={time_limit_ms} */"
            ))
        },
    });
}
