//! The proxy under test: as a process of its own or in this one.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use calloop::EventLoop;
use tidescale_policy::types::Timestamp;
use tidescale_proxy::buffers::Pool;
use tidescale_proxy::context::{IoContext, ReadyEvents};
use tidescale_proxy::deadlines::Deadlines;
use tidescale_proxy::{config, event_loop};

use super::TEST_TIMEOUT;
use super::system::wait_until_stopped;

/// A proxy in a process of its own; killed when dropped.
pub struct RunningProxy {
    pub child: Child,
    pub addr: SocketAddr,
    pub config: String,
}

impl RunningProxy {
    pub fn signal(&mut self, name: &str) {
        let sent = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status()
            .unwrap();
        assert!(sent.success() && self.child.try_wait().unwrap().is_none());
    }
    /// Has it stand still until [`resume`](RunningProxy::resume), like one that gets no processor.
    pub fn pause(&mut self) {
        self.signal("-STOP");
        wait_until_stopped(self.child.id());
    }
    pub fn resume(&mut self) {
        self.signal("-CONT");
    }
}

impl Drop for RunningProxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts a proxy and waits until it listens.
pub fn start_proxy(config: &str) -> RunningProxy {
    start_proxy_with(config, &[])
}

/// With these words on the command line.
pub fn start_proxy_with(config: &str, words: &[&str]) -> RunningProxy {
    start_proxy_logging_to(config, words, Stdio::null())
}

/// With its log going there.
pub fn start_proxy_logging_to(config: &str, words: &[&str], log: impl Into<Stdio>) -> RunningProxy {
    let addr = config::read(config).ok().unwrap().listen;
    let path = format!("{}/config-{}.json", env!("CARGO_TARGET_TMPDIR"), addr.ip());
    std::fs::write(&path, config).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_tidescale"));
    let child = command
        .args(words)
        .env("PROXY_CONFIG", &path)
        .stderr(log)
        .spawn()
        .unwrap();
    let mut running = RunningProxy {
        child,
        addr,
        config: path,
    };
    let begun = Instant::now();
    while TcpStream::connect(addr).is_err() {
        assert_eq!(running.child.try_wait().unwrap(), None, "it does not start");
        assert!(begun.elapsed() < TEST_TIMEOUT, "it does not listen");
        thread::sleep(Duration::from_millis(5));
    }
    running
}

/// Runs a proxy in this process, changed as the test wants, and what a client thread gets from it meanwhile.
pub fn with_proxy<T: Send + 'static>(
    config: &str,
    change: impl FnOnce(&mut event_loop::ProxyInstance),
    client: impl FnOnce(SocketAddr) -> T + Send + 'static,
) -> (event_loop::ProxyInstance, T) {
    let config = config::read(config).ok().unwrap();
    let listener = TcpListener::bind(config.listen).unwrap();
    let mut proxy = event_loop::ProxyInstance::new(
        &config,
        "".into(),
        || Ok(listener),
        slog::Logger::root(slog::Discard, slog::o!()),
    )
    .unwrap();
    change(&mut proxy);
    let client = thread::spawn(move || client(config.listen));
    while !client.is_finished() {
        proxy.run_iteration().unwrap();
    }
    (proxy, client.join().unwrap())
}

/// What a run of `tidescale` came to.
pub struct CommandOutput {
    pub exit_code: Option<i32>,
    pub stdout: String,
    pub stderr: String,
}

/// Runs `tidescale` with these arguments.
pub fn run_tidescale(words: &[&str]) -> CommandOutput {
    let done = Command::new(env!("CARGO_BIN_EXE_tidescale"))
        .args(words)
        .output()
        .unwrap();
    let [stdout, stderr] =
        [done.stdout, done.stderr].map(|bytes| String::from_utf8(bytes).unwrap());
    CommandOutput {
        exit_code: done.status.code(),
        stdout,
        stderr,
    }
}

/// What a component needs of a proxy, at time zero.
pub fn io_context(events: &EventLoop<'static, ReadyEvents>) -> IoContext {
    let [pool, clients_pool, streams_pool] = [8, 8, 8].map(Pool::new);
    IoContext {
        handle: events.handle(),
        pool,
        clients_pool,
        streams_pool,
        deadlines: Deadlines::default(),
        log: slog::Logger::root(slog::Discard, slog::o!()),
        now: Timestamp::ZERO,
    }
}
