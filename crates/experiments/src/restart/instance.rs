//! Starts and stops a proxy instance as a process, and reads its log.

use std::io::Read;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::error::ExperimentError;

/// Time limit for an instance to start listening.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two checks whether an instance listens; limits the precision of the measured
/// start-up time.
const START_POLL: Duration = Duration::from_millis(1);
/// Number of runs whose addresses have the same third byte. Each run has its own address in
/// 127.9.0.0/16.
const ADDRESSES_PER_THIRD_BYTE: u64 = 250;

/// Number of a run, which determines its address and its directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RunNumber(pub(super) u64);

/// How an instance is started.
pub(super) struct InstanceOptions<'a> {
    /// Path of the proxy's program.
    pub(super) program: &'a Path,
    /// Path of the configuration file.
    pub(super) configuration: &'a Path,
    /// Path of the operators' file, if there is one. Without one, the instance neither
    /// saves nor restores a snapshot.
    pub(super) operators_file: Option<PathBuf>,
    /// Address on which the instance will listen, from its configuration.
    pub(super) listen: SocketAddr,
}

/// A running instance, which is killed when this value is dropped.
pub(super) struct ProxyInstance {
    process: Child,
    /// Reads the log of the instance to the end; `None` once the log has been returned.
    log_reader: Option<JoinHandle<String>>,
    /// Time from the start of the process until it listened.
    pub(super) start_up_time: Duration,
}

impl Drop for ProxyInstance {
    fn drop(&mut self) {
        kill(&mut self.process);
    }
}

impl ProxyInstance {
    /// Starts an instance and waits until it listens.
    pub(super) fn start(options: &InstanceOptions) -> Result<ProxyInstance, ExperimentError> {
        let started_at = Instant::now();
        let mut command = Command::new(options.program);
        command
            .arg("run")
            .env("PROXY_CONFIG", options.configuration)
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        if let Some(path) = &options.operators_file {
            command.arg("--operators").arg(path);
        }
        let mut process = command
            .spawn()
            .map_err(ExperimentError::at(options.program))?;
        if let Err(error) = wait_until_listening(&mut process, options.listen, started_at) {
            kill(&mut process);
            return Err(error);
        }
        let start_up_time = started_at.elapsed();
        let log_reader = Some(read_log(&mut process));
        Ok(ProxyInstance {
            process,
            log_reader,
            start_up_time,
        })
    }

    /// Waits for this time, stops the instance with SIGTERM, and returns its log.
    pub(super) fn stop_after(mut self, time: Duration) -> Result<String, ExperimentError> {
        thread::sleep(time);
        Command::new("kill")
            .args(["-TERM", &self.process.id().to_string()])
            .status()
            .map_err(ExperimentError::during("send SIGTERM"))?;
        self.process
            .wait()
            .map_err(ExperimentError::during("wait for a proxy instance"))?;
        match self.log_reader.take().map(JoinHandle::join) {
            Some(Ok(log)) => Ok(log),
            Some(Err(_)) | None => Err(ExperimentError::Panicked("a log reader")),
        }
    }
}

fn wait_until_listening(
    process: &mut Child,
    listen: SocketAddr,
    started_at: Instant,
) -> Result<(), ExperimentError> {
    while TcpStream::connect(listen).is_err() {
        let ended = process
            .try_wait()
            .map_err(ExperimentError::during(
                "check whether a proxy instance runs",
            ))?
            .is_some();
        if ended || started_at.elapsed() > START_TIMEOUT {
            return Err(ExperimentError::ProxyNotListening);
        }
        thread::sleep(START_POLL);
    }
    Ok(())
}

/// Kills a process and waits until it has exited. Ignores errors, as the process may already have
/// exited.
fn kill(process: &mut Child) {
    let _ = process.kill();
    let _ = process.wait();
}

/// Reads the log on a thread while it is written, because a full pipe would block the instance.
fn read_log(process: &mut Child) -> JoinHandle<String> {
    let stderr = process.stderr.take();
    thread::spawn(move || {
        let mut text = String::new();
        if let Some(mut stderr) = stderr {
            // If reading fails, the log consists of what was read before.
            let _ = stderr.read_to_string(&mut text);
        }
        text
    })
}

/// Returns an address that only this run uses, with a port that was free when it was checked.
pub(super) fn run_address(run: RunNumber) -> Result<SocketAddr, ExperimentError> {
    let RunNumber(number) = run;
    let third_byte = (number / ADDRESSES_PER_THIRD_BYTE) as u8;
    let fourth_byte = 1 + (number % ADDRESSES_PER_THIRD_BYTE) as u8;
    free_address(Ipv4Addr::new(127, 9, third_byte, fourth_byte))
}

/// Returns this IP address with a port that was free when it was checked.
pub(super) fn free_address(ip: Ipv4Addr) -> Result<SocketAddr, ExperimentError> {
    TcpListener::bind((ip, 0))
        .and_then(|listener| listener.local_addr())
        .map_err(ExperimentError::during("find a free port"))
}
