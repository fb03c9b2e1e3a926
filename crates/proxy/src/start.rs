//! Starting to serve: reads the files that are named, takes the address and runs the event loop.

use std::ffi::OsString;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};

use socket2::{Domain, Protocol, Socket, Type};

use crate::config::{self, ConfigError};
use crate::event_loop::{self, EventLoopError};
use crate::logging;
use crate::operators::{self, Operators, OperatorsError};

/// Connections that the system holds until they are accepted.
const BACKLOG: i32 = 1024;

/// Why the proxy does not serve.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The environment names no configuration.
    #[error("PROXY_CONFIG is not set")]
    NoConfiguration,
    /// The configuration cannot be used.
    #[error("{}: {source}", path.display())]
    Configuration {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: ConfigError,
    },
    /// The operators' file cannot be used.
    #[error("{}: {source}", path.display())]
    Operators {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: OperatorsError,
    },
    /// The event loop did not start, or failed.
    #[error(transparent)]
    EventLoop(#[from] EventLoopError),
}

/// Serves until SIGTERM. `config_path` is what the environment names as `PROXY_CONFIG`; without an operators' file
/// nothing in it is on.
///
/// # Errors
///
/// Where a file cannot be used, the address cannot be taken or the event loop fails.
pub fn serve(config_path: Option<OsString>, operators: Option<&Path>) -> Result<(), StartError> {
    let config_path = PathBuf::from(config_path.ok_or(StartError::NoConfiguration)?);
    let config = config::read_file(&config_path).map_err(|source| StartError::Configuration {
        path: config_path.clone(),
        source,
    })?;
    let operators = match operators {
        None => Operators::default(),
        Some(path) => operators::read_file(path).map_err(|source| StartError::Operators {
            path: path.into(),
            source,
        })?,
    };
    let listen = || listen(config.listen);
    let log = logging::stderr_logger();
    event_loop::run(&config, &operators, config_path, listen, log)?;
    Ok(())
}

/// Takes the address, also while connections of an earlier process still hold it.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let domain = Domain::for_address(address);
    let socket = Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}
