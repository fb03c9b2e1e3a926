//! Reopening a stream, and replacing one stream by another.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use tidescale_policy::types::Timestamp;
use tidescale_proxy::context::{Component, IoContext, Owner, ReadyEvents};
use tidescale_proxy::ids::SlotKey;
use tidescale_proxy::stream::{PersistentStream, ReconnectingStream, StreamTimeouts};

use crate::common::*;

/// The path that the streams request.
const PATH: &str = "/there";

/// An event loop for a stream without the rest of the proxy. Its clock starts at zero and follows
/// the system's monotonic clock.
struct StreamFixture {
    events: calloop::EventLoop<'static, ReadyEvents>,
    ready: ReadyEvents,
    context: IoContext,
    started_at: Instant,
}

impl StreamFixture {
    fn new() -> StreamFixture {
        let events = calloop::EventLoop::try_new().unwrap();
        let context = io_context(&events);
        StreamFixture {
            events,
            ready: ReadyEvents::default(),
            context,
            started_at: Instant::now(),
        }
    }

    /// Waits for events and updates the clock.
    fn dispatch(&mut self) {
        self.events
            .dispatch(Duration::from_millis(5), &mut self.ready)
            .unwrap();
        self.context.now = Timestamp::ZERO + self.started_at.elapsed();
    }

    /// Sets the clock to the next deadline and removes that deadline.
    fn pass_next_deadline(&mut self) {
        self.context.now = self.context.deadlines.next_at().unwrap();
        assert!(self.context.deadlines.pop_due(self.context.now).is_some());
    }

    fn iterate_reconnecting(&mut self, stream: &mut ReconnectingStream) {
        self.dispatch();
        for (_, readiness) in self.ready.sockets.drain(..) {
            stream.on_ready(readiness);
        }
        stream.serve(&mut self.context, |_, _, _| Ok(()));
        let is_due = self.context.deadlines.pop_due(self.context.now).is_some();
        if is_due && stream.on_deadline(&mut self.context) {
            stream.open(PATH, &mut self.context);
        }
    }

    /// Waits for events, passes them to the stream and returns the lines that it has received.
    fn receive_lines(&mut self, stream: &mut PersistentStream) -> Vec<String> {
        self.dispatch();
        for (owner, readiness) in self.ready.sockets.drain(..) {
            stream.on_ready(owner.slot, readiness);
        }
        let mut lines = Vec::new();
        stream.serve(&mut self.context, |line, _, _| {
            lines.push(line.to_string());
            Ok(())
        });
        lines
    }

    fn handle_deadlines(&mut self, stream: &mut PersistentStream) {
        while let Some(owner) = self.context.deadlines.pop_due(self.context.now) {
            if stream.on_deadline(owner.slot, &mut self.context) {
                stream.open(PATH, &mut self.context);
            }
        }
    }
}

/// A stream that is reopened if it receives nothing for the keep-alive timeout. The seed determines
/// its random backoffs.
fn reconnecting_stream(
    address: SocketAddr,
    keep_alive_timeout: Duration,
    seed: u64,
) -> ReconnectingStream {
    ReconnectingStream::new(
        Owner::new(Component::EndpointList, SlotKey::new(0)),
        address,
        StreamTimeouts::responsive_server(keep_alive_timeout),
        seed,
    )
}

/// A response after which the stream has to be reopened.
struct EndedStream {
    response: &'static str,
    /// The minimum time from the first attempt to connect to the third request, which is sent
    /// after two backoffs.
    min_time_to_third_request: Duration,
}

const ENDED_STREAMS: [EndedStream; 4] = [
    // The stream stays open without a body.
    EndedStream {
        response: CHUNKED_HEAD,
        min_time_to_third_request: Duration::from_millis(300),
    },
    // The stream ends after a body of one byte.
    EndedStream {
        response: "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n\n",
        min_time_to_third_request: Duration::from_millis(200),
    },
    // The response is not HTTP.
    EndedStream {
        response: "nonsense\r\n\r\n",
        min_time_to_third_request: Duration::from_millis(300),
    },
    // The request is rejected with status 503.
    EndedStream {
        response: "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
        min_time_to_third_request: Duration::from_millis(300),
    },
];

#[test]
fn stream_that_times_out_or_ends_is_reopened_with_backoff() {
    for EndedStream {
        response,
        min_time_to_third_request,
    } in ENDED_STREAMS
    {
        let server = HttpServer::start(|_| response.into());
        let mut fixture = StreamFixture::new();
        let mut stream = reconnecting_stream(server.address, Duration::from_millis(50), 7);

        stream.open(PATH, &mut fixture.context);
        while server.requests().len() < 3 {
            assert!(fixture.started_at.elapsed() < TEST_TIMEOUT, "{response}");
            fixture.iterate_reconnecting(&mut stream);
        }

        // Without a backoff a failing server would be flooded with requests.
        assert!(
            fixture.started_at.elapsed() >= min_time_to_third_request,
            "{response}"
        );
    }
}

#[test]
fn stream_is_closed_only_once_its_replacement_has_delivered_a_message() {
    let earlier = HttpServer::start(|_| "HTTP/1.1 200 OK\r\n\r\nold\n".into());
    // The later server sends nothing on its first connection.
    let first_request = AtomicBool::new(true);
    let later = HttpServer::start(move |_| {
        if first_request.swap(false, Ordering::Relaxed) {
            String::new()
        } else {
            "HTTP/1.1 200 OK\r\n\r\nnew\n".into()
        }
    });
    let mut fixture = StreamFixture::new();
    let mut stream = PersistentStream::new(
        Component::EndpointList,
        earlier.address,
        StreamTimeouts::responsive_server(Duration::from_millis(60)),
        7,
    );

    stream.open(PATH, &mut fixture.context);
    let (mut lines, mut address_changed) = (Vec::new(), false);
    while !lines.contains(&"new".to_string()) {
        assert!(fixture.started_at.elapsed() < TEST_TIMEOUT, "{lines:?}");
        lines.extend(fixture.receive_lines(&mut stream));
        if !address_changed && !lines.is_empty() {
            assert!(!stream.change_address(earlier.address, PATH, &mut fixture.context));
            assert!(stream.change_address(later.address, PATH, &mut fixture.context));
            address_changed = true;
        }
        fixture.handle_deadlines(&mut stream);
    }

    assert_eq!(lines.iter().filter(|line| *line == "new").count(), 1);
    // Only the replacement remains. Its deadline and that of the next renewal are scheduled.
    let deadlines = &mut fixture.context.deadlines;
    let owners: Vec<_> = std::iter::from_fn(|| deadlines.pop_due(Timestamp::MAX)).collect();
    let expected = [SlotKey::new(1), SlotKey::new(u64::MAX)]
        .map(|slot| Owner::new(Component::EndpointList, slot));
    assert_eq!(owners, expected);
}

/// The times at which a stream with this seed reconnects after each of ten keep-alive timeouts.
fn reconnect_times(seed: u64) -> Vec<Timestamp> {
    let server = ManualServer::new();
    let mut fixture = StreamFixture::new();
    let mut stream = reconnecting_stream(server.address(), Duration::from_millis(60), seed);
    let mut times = Vec::new();
    for _ in 0..10 {
        stream.open(PATH, &mut fixture.context);
        // Nothing is received: the stream ends at the keep-alive timeout, then its backoff passes.
        fixture.pass_next_deadline();
        assert!(!stream.on_deadline(&mut fixture.context));
        fixture.pass_next_deadline();
        assert!(stream.on_deadline(&mut fixture.context));
        times.push(fixture.context.now);
    }
    times
}

#[test]
fn instances_whose_streams_end_together_reconnect_at_different_times() {
    let [first, second] = [1, 2].map(reconnect_times);

    let differences = first
        .iter()
        .zip(&second)
        .map(|(first, second)| (*first - *second).max(*second - *first));
    assert!(
        differences
            .into_iter()
            .all(|difference| difference > Duration::from_millis(1)),
        "{first:?} {second:?}"
    );
    assert_eq!(first, reconnect_times(1));
}
