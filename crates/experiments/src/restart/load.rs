//! The load of a run: clients that send requests at regular intervals.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use super::scenario::Scenario;
use crate::error::ExperimentError;
use crate::stand_ins::{Client, ClientAnswer, ClientNumber};

/// Number of clients of a run.
const CLIENT_COUNT: u64 = 24;
/// Time between two requests of a client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(150);
/// Factor by which the interval is longer in the scenario with low traffic.
const LOW_TRAFFIC_FACTOR: u32 = 3;

/// Clients that send requests until the load generator is stopped.
pub(super) struct LoadGenerator {
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<Vec<ClientAnswer>>>,
}

impl LoadGenerator {
    /// Starts the clients, which send their requests to the instance at this address.
    pub(super) fn start(proxy: SocketAddr, scenario: Scenario) -> LoadGenerator {
        let stop = Arc::new(AtomicBool::new(false));
        let interval = match scenario {
            Scenario::FaultyEndpoints | Scenario::RecoveredEndpoints => REQUEST_INTERVAL,
            Scenario::BadBuild => LOW_TRAFFIC_FACTOR * REQUEST_INTERVAL,
        };
        let clients = (0..CLIENT_COUNT)
            .map(ClientNumber)
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
        LoadGenerator { stop, clients }
    }

    /// Stops the clients and returns the answers that they recorded.
    pub(super) fn stop(self) -> Result<Vec<ClientAnswer>, ExperimentError> {
        self.stop.store(true, Relaxed);
        let mut answers = Vec::new();
        for client in self.clients {
            let recorded = client
                .join()
                .map_err(|_| ExperimentError::Panicked("a client"))?;
            answers.extend(recorded);
        }
        Ok(answers)
    }
}
