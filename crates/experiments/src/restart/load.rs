//! The clients of a run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use super::scenario::Scenario;
use crate::error::ExperimentError;
use crate::stand_ins::{Client, ClientAnswer};

/// Clients of a run.
const CLIENTS: u64 = 24;
/// Time between two requests of a client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(150);
/// Thin traffic: requests come at so many times the interval.
const THIN_TRAFFIC: u32 = 3;

/// Clients that send requests until they are stopped.
pub(super) struct Load {
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<Vec<ClientAnswer>>>,
}

impl Load {
    /// Starts them against an instance.
    pub(super) fn start(proxy: SocketAddr, scenario: Scenario) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let interval = match scenario {
            Scenario::Trouble | Scenario::Healed => REQUEST_INTERVAL,
            Scenario::BadBuild => THIN_TRAFFIC * REQUEST_INTERVAL,
        };
        let clients = (0..CLIENTS)
            .map(|number| {
                let stop = stop.clone();
                let client = Client {
                    proxy,
                    number,
                    interval,
                };
                thread::spawn(move || client.run(&stop))
            })
            .collect();
        Load { stop, clients }
    }

    /// Stops the clients and returns what they noted.
    pub(super) fn stop(self) -> Result<Vec<ClientAnswer>, ExperimentError> {
        self.stop.store(true, Relaxed);
        let mut answers = Vec::new();
        for client in self.clients {
            let noted = client
                .join()
                .map_err(|_| ExperimentError::Panicked("a client"))?;
            answers.extend(noted);
        }
        Ok(answers)
    }
}
