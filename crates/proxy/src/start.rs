//! Starts to serve: reads the files, listens on the address and runs the event loop.

use std::ffi::OsString;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};

use socket2::{Domain, Protocol, Socket, Type};

use crate::config::{self, ConfigError};
use crate::event_loop::{self, EventLoopError};
use crate::logging;
use crate::operators::{self, OperatorSettings, OperatorSettingsError};

/// Most connections that wait to be accepted.
const BACKLOG: i32 = 1024;

/// Why the proxy does not serve.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The environment variable for the configuration is not set.
    #[error("PROXY_CONFIG is not set")]
    NoConfiguration,
    /// The configuration is invalid.
    #[error("{}: {source}", path.display())]
    Configuration {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: ConfigError,
    },
    /// The operators' file is invalid.
    #[error("{}: {source}", path.display())]
    OperatorSettings {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: OperatorSettingsError,
    },
    /// The event loop did not start, or failed.
    #[error(transparent)]
    EventLoop(#[from] EventLoopError),
}

/// Serves until SIGTERM. `config_path` is the value of the environment variable `PROXY_CONFIG`.
/// Without an operators' file, all its features are disabled.
///
/// # Errors
///
/// A file is invalid, the address cannot be listened on, or the event loop fails.
pub fn serve(
    config_path: Option<OsString>,
    operators_path: Option<&Path>,
) -> Result<(), StartError> {
    let config_path = PathBuf::from(config_path.ok_or(StartError::NoConfiguration)?);
    let config = config::read_file(&config_path).map_err(|source| StartError::Configuration {
        path: config_path.clone(),
        source,
    })?;
    let operators = match operators_path {
        None => OperatorSettings::default(),
        Some(path) => {
            operators::read_file(path).map_err(|source| StartError::OperatorSettings {
                path: path.into(),
                source,
            })?
        }
    };
    let listen = || listen(config.listen);
    let log = logging::stderr_logger();
    event_loop::run(&config, &operators, config_path, listen, log)?;
    Ok(())
}

/// Listens on the address, even if connections of an earlier process still use it.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let domain = Domain::for_address(address);
    let socket = Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}
