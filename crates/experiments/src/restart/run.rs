//! A single run: kills and restarts an instance under load, and measures the answers to requests
//! after the restart.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::Ordering::Relaxed;
use std::thread;
use std::time::{Duration, Instant};

use oorandom::Rand64;

use super::Environment;
use super::configuration::{Configuration, ListedEndpoint, SnapshotSettings, endpoint_list};
use super::instance::{InstanceOptions, ProxyInstance, RunNumber, run_address};
use super::load::LoadGenerator;
use super::scenario::{
    CANDIDATE_ENDPOINT_COUNT, DRAINING_ENDPOINT, ENDPOINT_COUNT, ListPosition, RestartKind,
    SLOW_ENDPOINT, Scenario, UNRESPONSIVE_ENDPOINT,
};
use super::window::{ByWindow, Window};
use crate::error::ExperimentError;
use crate::stand_ins::{Behavior, ClientAnswer, StandInEndpoint, StandInPlatform, start_discovery};
use crate::units::milliseconds;

/// Latency objective of the only route; equal to `target` in the instance's settings.
const OBJECTIVE: Duration = Duration::from_millis(200);
/// Time under load before the kill.
const TIME_BEFORE_KILL: Duration = Duration::from_secs(7);
/// Upper limit of the random delay of the kill, in milliseconds; the delay depends on the seed.
const KILL_JITTER_MS: u64 = 400;
/// Time under load after the restart.
const TIME_AFTER_RESTART: Duration = Duration::from_secs(10);
/// Mean response time of a healthy endpoint, in milliseconds.
const HEALTHY_DELAY_MS: u64 = 16;
/// Mean response time of the slow endpoint, in milliseconds; exceeds the objective.
const SLOW_DELAY_MS: u64 = 320;
/// Percentage of the requests to the candidate that fail.
const CANDIDATE_ERRORS_PERCENT: u64 = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RunPlan {
    pub(super) number: RunNumber,
    /// Faults during the run.
    pub(super) scenario: Scenario,
    /// With or without a snapshot.
    pub(super) kind: RestartKind,
    /// Seed of the instance's random numbers and of the time of the kill.
    pub(super) seed: u64,
}

/// Results of a run. Values that do not apply to its scenario are NaN.
pub(super) struct RunRow {
    /// Faults during the run.
    pub(super) scenario: Scenario,
    pub(super) seed: u64,
    /// With or without a snapshot.
    pub(super) kind: RestartKind,
    /// Share of the requests after the restart that were answered within the objective.
    pub(super) within_objective: ByWindow,
    /// Attempts at the slow endpoint after the restart.
    pub(super) attempts_at_slow: f64,
    /// Attempts at the unresponsive endpoint after the restart.
    pub(super) attempts_at_unresponsive: f64,
    /// Attempts at the draining endpoint after the restart.
    pub(super) attempts_at_draining: f64,
    /// Attempts at endpoints with the candidate after the restart.
    pub(super) attempts_at_candidate: f64,
    /// Milliseconds from the restart to the first vote to roll back the bad build; NaN if there was
    /// none.
    pub(super) rollback_vote_ms: f64,
    /// Attempts at the slow or formerly slow endpoint in the second half of the time after the
    /// restart, relative to an even distribution.
    pub(super) slow_endpoint_share: f64,
    /// Milliseconds from the restart until the instance listened.
    pub(super) start_up_ms: f64,
}

/// Executes a plan and returns the results.
pub(super) fn run(plan: &RunPlan, environment: &Environment) -> Result<RunRow, ExperimentError> {
    let testbed = Testbed::set_up(*plan, environment)?;
    let running_instance = testbed.start_instance(environment)?;
    let load = LoadGenerator::start(testbed.listen, plan.scenario);
    testbed.run_until_kill();
    drop(running_instance);
    testbed.recover_endpoints();
    let measurements = testbed.measure_restart(environment, load)?;
    // Files that are not removed do no harm, and an error here must not hide the result.
    let _ = fs::remove_dir_all(&testbed.dir);
    Ok(testbed.row(&measurements))
}

/// The systems around the instance, and its files.
struct Testbed {
    plan: RunPlan,
    endpoints: Vec<StandInEndpoint>,
    platform: StandInPlatform,
    listen: SocketAddr,
    dir: PathBuf,
    configuration: PathBuf,
    operators_file: PathBuf,
}

/// Number of requests that each endpoint has received up to some time, by list position.
struct RequestCounts(Vec<f64>);

impl RequestCounts {
    fn at(&self, endpoint: ListPosition) -> f64 {
        self.0[endpoint.0]
    }
}

/// Measurements after the restart.
struct Measurements {
    restarted_at: Instant,
    start_up_time: Duration,
    answers: Vec<ClientAnswer>,
    first_rollback_vote: Option<Instant>,
    requests_at_kill: RequestCounts,
    /// Counts in the middle of the time after the restart.
    requests_halfway: RequestCounts,
    /// Counts at the end of the time after the restart.
    requests_at_end: RequestCounts,
}

impl Testbed {
    fn set_up(plan: RunPlan, environment: &Environment) -> Result<Testbed, ExperimentError> {
        let scenario = plan.scenario;
        let dir = environment.dir.join(format!("run-{}", plan.number.0));
        fs::create_dir_all(&dir).map_err(ExperimentError::at(&dir))?;
        let endpoints = start_endpoints(scenario)?;
        let list = endpoint_list(&list_entries(scenario, &endpoints));
        let discovery = start_discovery(&list.to_string())
            .map_err(ExperimentError::during("start discovery"))?;
        let platform = StandInPlatform::start(scenario.announcement())
            .map_err(ExperimentError::during("start the platform"))?;
        let listen = run_address(plan.number)?;
        let configuration = Configuration {
            listen,
            discovery,
            platform: platform.address,
            known_endpoints: &list,
            announcement: scenario.announcement(),
            seed: plan.seed,
        };
        let snapshot = SnapshotSettings {
            directory: &dir.join("memory"),
            interval: "500 ms",
            stop_within: None,
        };
        Ok(Testbed {
            plan,
            endpoints,
            platform,
            listen,
            configuration: configuration.write(&dir)?,
            operators_file: snapshot.write(&dir)?,
            dir,
        })
    }

    fn start_instance(&self, environment: &Environment) -> Result<ProxyInstance, ExperimentError> {
        let operators_file = match self.plan.kind {
            RestartKind::WithoutSnapshot => None,
            RestartKind::WithSnapshot => Some(self.operators_file.clone()),
        };
        ProxyInstance::start(&InstanceOptions {
            program: &environment.program,
            configuration: &self.configuration,
            operators_file,
            listen: self.listen,
        })
    }

    fn is_bad_build(&self) -> bool {
        self.plan.scenario == Scenario::BadBuild
    }

    fn behavior(&self, endpoint: ListPosition) -> &Behavior {
        &self.endpoints[endpoint.0].behavior
    }

    /// Waits until the instance has learned its baselines, makes one endpoint unresponsive, except
    /// in the scenario with a bad build, and waits until the time of the kill.
    fn run_until_kill(&self) {
        let mut random = Rand64::new(u128::from(self.plan.seed));
        let jitter = Duration::from_millis(random.rand_u64() % KILL_JITTER_MS);
        thread::sleep(TIME_BEFORE_KILL / 2 + jitter);
        if !self.is_bad_build() {
            let unresponsive = &self.behavior(UNRESPONSIVE_ENDPOINT).unresponsive;
            unresponsive.store(true, Relaxed);
        }
        thread::sleep(TIME_BEFORE_KILL / 2);
    }

    /// Ends the faults of the slow and the unresponsive endpoint in the scenario where they recover
    /// while the instance is down.
    fn recover_endpoints(&self) {
        if self.plan.scenario == Scenario::RecoveredEndpoints {
            let slow = self.behavior(SLOW_ENDPOINT);
            slow.delay_ms.store(HEALTHY_DELAY_MS, Relaxed);
            let unresponsive = self.behavior(UNRESPONSIVE_ENDPOINT);
            unresponsive.unresponsive.store(false, Relaxed);
        }
    }

    fn measure_restart(
        &self,
        environment: &Environment,
        load: LoadGenerator,
    ) -> Result<Measurements, ExperimentError> {
        let requests_at_kill = self.count_requests();
        self.platform.clear_votes();
        let restarted_instance = self.start_instance(environment)?;
        let restarted_at = Instant::now();
        thread::sleep(TIME_AFTER_RESTART / 2);
        let requests_halfway = self.count_requests();
        thread::sleep(TIME_AFTER_RESTART / 2);
        let requests_at_end = self.count_requests();
        Ok(Measurements {
            restarted_at,
            start_up_time: restarted_instance.start_up_time,
            answers: load.stop()?,
            first_rollback_vote: self.platform.first_rollback_vote(),
            requests_at_kill,
            requests_halfway,
            requests_at_end,
        })
    }

    fn count_requests(&self) -> RequestCounts {
        let counts = self
            .endpoints
            .iter()
            .map(|endpoint| endpoint.behavior.request_count.load(Relaxed) as f64);
        RequestCounts(counts.collect())
    }

    fn row(&self, measurements: &Measurements) -> RunRow {
        let bad_build = self.is_bad_build();
        let unless_bad_build = |value: f64| if bad_build { f64::NAN } else { value };
        let candidate: f64 = (0..CANDIDATE_ENDPOINT_COUNT)
            .map(|position| measurements.attempts_at(ListPosition(position)))
            .sum();
        RunRow {
            scenario: self.plan.scenario,
            seed: self.plan.seed,
            kind: self.plan.kind,
            within_objective: ByWindow::new(|window| measurements.within_objective(window)),
            attempts_at_slow: unless_bad_build(measurements.attempts_at(SLOW_ENDPOINT)),
            attempts_at_unresponsive: unless_bad_build(
                measurements.attempts_at(UNRESPONSIVE_ENDPOINT),
            ),
            attempts_at_draining: unless_bad_build(measurements.attempts_at(DRAINING_ENDPOINT)),
            attempts_at_candidate: if bad_build { candidate } else { f64::NAN },
            rollback_vote_ms: measurements
                .first_rollback_vote
                .map_or(f64::NAN, |voted_at| {
                    milliseconds(voted_at.saturating_duration_since(measurements.restarted_at))
                }),
            slow_endpoint_share: unless_bad_build(measurements.late_share_of(SLOW_ENDPOINT)),
            start_up_ms: milliseconds(measurements.start_up_time),
        }
    }
}

impl Measurements {
    /// Returns the share of the requests in a window that were answered within the objective.
    fn within_objective(&self, window: Window) -> f64 {
        let end = self.restarted_at + window.length();
        let mut total = 0_usize;
        let mut within = 0_usize;
        for answer in &self.answers {
            if (self.restarted_at..end).contains(&answer.sent_at) {
                total += 1;
                within += usize::from(answer.answered_after.is_some_and(|time| time <= OBJECTIVE));
            }
        }
        within as f64 / total.max(1) as f64
    }

    /// Returns the number of attempts at an endpoint after the restart.
    fn attempts_at(&self, endpoint: ListPosition) -> f64 {
        self.requests_at_end.at(endpoint) - self.requests_at_kill.at(endpoint)
    }

    /// Returns the number of attempts at an endpoint in the second half of the time after the
    /// restart, relative to the mean over the endpoints that received any.
    fn late_share_of(&self, endpoint: ListPosition) -> f64 {
        let late: Vec<f64> = self
            .requests_at_end
            .0
            .iter()
            .zip(&self.requests_halfway.0)
            .map(|(end, halfway)| end - halfway)
            .collect();
        let serving = late
            .iter()
            .filter(|attempts| **attempts > 0.0)
            .count()
            .max(1) as f64;
        let even_share = late.iter().sum::<f64>() / serving;
        late[endpoint.0] / even_share.max(1.0)
    }
}

fn start_endpoints(scenario: Scenario) -> Result<Vec<StandInEndpoint>, ExperimentError> {
    let mut endpoints = Vec::new();
    for _ in 0..ENDPOINT_COUNT {
        let endpoint = StandInEndpoint::start(HEALTHY_DELAY_MS)
            .map_err(ExperimentError::during("start an endpoint"))?;
        endpoints.push(endpoint);
    }
    if scenario == Scenario::BadBuild {
        for endpoint in &endpoints[..CANDIDATE_ENDPOINT_COUNT] {
            let errors = &endpoint.behavior.errors_percent;
            errors.store(CANDIDATE_ERRORS_PERCENT, Relaxed);
        }
    } else {
        let slow = &endpoints[SLOW_ENDPOINT.0].behavior;
        slow.delay_ms.store(SLOW_DELAY_MS, Relaxed);
    }
    Ok(endpoints)
}

fn list_entries(scenario: Scenario, endpoints: &[StandInEndpoint]) -> Vec<serde_json::Value> {
    endpoints
        .iter()
        .enumerate()
        .map(|(index, endpoint)| {
            let position = ListPosition(index);
            ListedEndpoint {
                name: &format!("s-{index}"),
                address: endpoint.address,
                build: scenario.build_of(position),
                state: scenario.listed_state_of(position),
            }
            .to_json()
        })
        .collect()
}
