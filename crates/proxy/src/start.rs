//! Starts the proxy: reads the configuration files, creates the listener and runs the event loop.

use std::ffi::OsString;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};

use socket2::{Domain, Protocol, Socket, Type};

use crate::config::{self, ConfigError};
use crate::event_loop::{self, EventLoopError};
use crate::logging;
use crate::operators::{self, OperatorSettings, OperatorSettingsError};

/// Backlog of the listening socket: maximum number of established connections that the system
/// queues until the proxy accepts them.
const MAX_PENDING_CONNECTIONS: i32 = 1024;

/// Why the proxy did not start, or stopped with an error.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The environment variable with the path of the configuration file is not set.
    #[error("PROXY_CONFIG is not set")]
    NoConfiguration,
    /// The configuration file cannot be read or is invalid.
    #[error("{}: {source}", path.display())]
    Configuration {
        /// The path of the file.
        path: PathBuf,
        /// Why it cannot be used.
        source: ConfigError,
    },
    /// The operators' file cannot be read or is invalid.
    #[error("{}: {source}", path.display())]
    OperatorSettings {
        /// The path of the file.
        path: PathBuf,
        /// Why it cannot be used.
        source: OperatorSettingsError,
    },
    /// The event loop failed to start or to run.
    #[error(transparent)]
    EventLoop(#[from] EventLoopError),
}

/// Runs the proxy until SIGTERM. `config_path` is the value of the environment variable
/// `PROXY_CONFIG`. Without an operators' file, the features that it configures are disabled.
///
/// # Errors
///
/// A file cannot be read or is invalid, the listener cannot be created, or the event loop fails.
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

/// Creates the listener. `SO_REUSEADDR` lets a restarted process bind while connections of the
/// previous one are still in use or in `TIME_WAIT`.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let domain = Domain::for_address(address);
    let socket = Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(MAX_PENDING_CONNECTIONS)?;
    Ok(socket.into())
}
