//! `tidescale`: the decision module as a front on real sockets. Starts it and, told to, ends it.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::ExitCode;

use socket2::{Domain, Protocol, Socket, Type};
use tidescale_node::{config, front, logging};

const BACKLOG: i32 = 1024;

/// The address may still be held by connections of the front that was here before.
fn listen(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

fn start() -> Result<(), String> {
    let path = PathBuf::from(std::env::var_os("PROXY_CONFIG").ok_or("PROXY_CONFIG is not set")?);
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    let config = config::read(&text).map_err(|e| format!("{}: {e}", path.display()))?;
    let listener = listen(config.listen).map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;
    front::run(&config, path, listener, logging::start())
}

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("tidescale: {}", fault.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}
