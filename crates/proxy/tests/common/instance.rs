//! The proxy under test, in a child process or in the test process.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use calloop::EventLoop;
use tidescale_policy::types::Timestamp;
use tidescale_proxy::buffers::Pool;
use tidescale_proxy::context::{IoContext, ReadyEvents};
use tidescale_proxy::deadlines::Deadlines;
use tidescale_proxy::statement_buffers::StatementBuffers;
use tidescale_proxy::{config, event_loop};

use super::TEST_TIMEOUT;
use super::configuration::ProxyConfig;
use super::endpoint::TestEndpoint;
use super::system::wait_until_stopped;

/// A proxy in a child process, which is killed when this value is dropped.
pub struct RunningProxy {
    pub child: Child,
    pub address: SocketAddr,
    /// The path of the configuration file.
    pub config_path: String,
}

impl RunningProxy {
    /// Sends the process a signal, given as an option of `kill`. Panics if it has already exited.
    pub fn signal(&mut self, name: &str) {
        let status = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status()
            .unwrap();
        assert!(status.success() && self.child.try_wait().unwrap().is_none());
    }

    /// Stops the process with SIGSTOP until [`resume`](RunningProxy::resume), to simulate a process
    /// that the system does not schedule.
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

/// Builds the command that starts a proxy in a child process.
pub struct ProxyCommand {
    config: String,
    arguments: Vec<String>,
    log: Stdio,
}

impl ProxyCommand {
    /// A command without arguments whose log is discarded.
    pub fn new(config: &ProxyConfig) -> ProxyCommand {
        ProxyCommand {
            config: config.text(),
            arguments: Vec::new(),
            log: Stdio::null(),
        }
    }

    pub fn operators_file(mut self, path: &str) -> ProxyCommand {
        self.arguments = ["run", "--operators", path].map(String::from).to_vec();
        self
    }

    pub fn log(mut self, log: impl Into<Stdio>) -> ProxyCommand {
        self.log = log.into();
        self
    }

    /// Starts the proxy and waits until it listens.
    pub fn start(self) -> RunningProxy {
        let address = config::parse(&self.config).ok().unwrap().listen;
        let config_path = format!(
            "{}/config-{}.json",
            env!("CARGO_TARGET_TMPDIR"),
            address.ip()
        );
        std::fs::write(&config_path, &self.config).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_tidescale"))
            .args(self.arguments)
            .env("PROXY_CONFIG", &config_path)
            .stderr(self.log)
            .spawn()
            .unwrap();
        let mut proxy = RunningProxy {
            child,
            address,
            config_path,
        };
        let started_at = Instant::now();
        while TcpStream::connect(address).is_err() {
            let exit_status = proxy.child.try_wait().unwrap();
            assert_eq!(exit_status, None, "the proxy exited during startup");
            assert!(
                started_at.elapsed() < TEST_TIMEOUT,
                "the proxy does not listen"
            );
            thread::sleep(Duration::from_millis(5));
        }
        proxy
    }
}

/// Starts a proxy and waits until it listens.
pub fn start_proxy(config: &ProxyConfig) -> RunningProxy {
    ProxyCommand::new(config).start()
}

/// Starts a proxy whose only endpoint is this one, and waits until it listens.
pub fn start_proxy_with_endpoint(endpoint: &TestEndpoint) -> RunningProxy {
    start_proxy(&ProxyConfig::new().endpoint(endpoint.address))
}

/// Runs a proxy in the test process until the client thread ends. `change` modifies the proxy
/// before its first iteration. Returns the proxy and the client's result.
pub fn with_proxy<T: Send + 'static>(
    config: &ProxyConfig,
    change: impl FnOnce(&mut event_loop::ProxyInstance),
    client: impl FnOnce(SocketAddr) -> T + Send + 'static,
) -> (event_loop::ProxyInstance, T) {
    let config = config::parse(&config.text()).ok().unwrap();
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

/// The exit code and the output of a command.
pub struct CommandOutput {
    pub exit_code: Option<i32>,
    pub stdout: String,
    pub stderr: String,
}

impl CommandOutput {
    /// Runs a command and waits for it to exit.
    pub fn run(command: &mut Command) -> CommandOutput {
        let output = command.output().unwrap();
        let [stdout, stderr] =
            [output.stdout, output.stderr].map(|bytes| String::from_utf8(bytes).unwrap());
        CommandOutput {
            exit_code: output.status.code(),
            stdout,
            stderr,
        }
    }
}

/// Runs `tidescale` with these arguments.
pub fn run_tidescale(arguments: &[&str]) -> CommandOutput {
    CommandOutput::run(Command::new(env!("CARGO_BIN_EXE_tidescale")).args(arguments))
}

/// An I/O context at time zero, for a component that is tested without a proxy.
pub fn io_context(events: &EventLoop<'static, ReadyEvents>) -> IoContext {
    let [
        endpoint_buffers,
        output_buffers,
        client_buffers,
        control_buffers,
    ] = [8; 4].map(Pool::new);
    IoContext {
        handle: events.handle(),
        endpoint_buffers,
        output_buffers,
        client_buffers,
        statement_buffers: StatementBuffers::new(1 << 20, 8),
        control_buffers,
        deadlines: Deadlines::default(),
        log: slog::Logger::root(slog::Discard, slog::o!()),
        now: Timestamp::ZERO,
    }
}
