//! `tidescale`: the decision module as a front on real sockets. Starts it and, told to, ends it.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use socket2::{Domain, Protocol, Socket, Type};
use tidescale_proxy::cli::{self, Cli, Command, Run};
use tidescale_proxy::operators::{self, Operators};
use tidescale_proxy::{config, event_loop, logging};

const BACKLOG: i32 = 1024;

/// The address may still be held by connections of the front that was here before.
fn listen(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

fn start(run: &Run) -> Result<ExitCode, String> {
    let path = PathBuf::from(std::env::var_os("PROXY_CONFIG").ok_or("PROXY_CONFIG is not set")?);
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    let config = config::read(&text).map_err(|e| format!("{}: {e}", path.display()))?;
    let operators = match &run.operators {
        None => Operators::default(),
        Some(path) => {
            let text =
                std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
            operators::read(&text).map_err(|e| format!("{}: {e}", path.display()))?
        }
    };
    let listen =
        || listen(config.listen).map_err(|e| format!("cannot listen on {}: {e}", config.listen));
    event_loop::run(&config, &operators, path, listen, logging::start())?;
    Ok(ExitCode::SUCCESS)
}

/// Of a fault in the arguments one line is told.
fn arguments() -> Result<Cli, ExitCode> {
    Cli::try_parse().map_err(|e| {
        if !e.use_stderr() {
            let _ = e.print();
            return ExitCode::SUCCESS;
        }
        let told = e.to_string();
        let line = told
            .lines()
            .find(|l| !l.trim().is_empty())
            .unwrap_or_default();
        eprintln!("tidescale: {}", line.trim_start_matches("error: "));
        ExitCode::from(2)
    })
}

fn main() -> ExitCode {
    let cli = match arguments() {
        Ok(cli) => cli,
        Err(code) => return code,
    };
    let done = match &cli.command {
        None => start(&Run::default()),
        Some(Command::Run(run)) => start(run),
        Some(Command::Explain { log }) => {
            cli::explain(log.as_deref()).map_err(|error| error.to_string())
        }
        Some(Command::Snapshot(command)) => {
            cli::snapshot(command).map_err(|error| error.to_string())
        }
    };
    done.unwrap_or_else(|fault| {
        eprintln!("tidescale: {}", fault.replace('\n', " "));
        ExitCode::FAILURE
    })
}
