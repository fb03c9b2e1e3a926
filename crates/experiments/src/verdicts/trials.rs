//! Draws the cases, runs their trials, and measures the harm that each build does.

use tidescale_simulation::build_behavior::BuildBehavior;
use tidescale_simulation::case::{FleetSize, RollbackTrigger, SettingsProfile, TrialCase};
use tidescale_simulation::confounder::Confounder;
use tidescale_simulation::outcome::TrialOutcome;
use tidescale_simulation::random_stream::RandomStream;
use tidescale_simulation::trial::run_trial;

/// Random stream from which cases are drawn, separate from those of the trials.
const CASE_STREAM: u64 = 0;
/// A build is harmful if at least this share of the served weight is lost while it serves on the
/// whole fleet. Weight is the priority weight of requests.
const HARM_THRESHOLD: f64 = 0.03;
/// Seconds at the end of a trial over which harm is measured; without votes, the whole fleet runs
/// the build by then.
const HARM_WINDOW_SECONDS: usize = 8;
/// Probability that a trial has no confounder. Otherwise it has one of [`Confounder::ALL`], which
/// also contains `None`.
const NO_CONFOUNDER_SHARE: f64 = 0.5;

/// The case and the results of a trial.
pub(super) struct TrialRow {
    pub(super) seed: u64,
    pub(super) build: BuildBehavior,
    /// Disturbance that the build does not cause.
    pub(super) confounder: Confounder,
    /// Share of the served priority weight that the build alone loses; 0 for a good build.
    pub(super) harm: f64,
    /// Priority weight of the served requests as a share of that of all requests in the trial.
    pub(super) served_share: f64,
    pub(super) outcome: TrialOutcome,
}

impl TrialRow {
    /// Runs a trial and, for a build that is not good, the pair of trials that measures its harm.
    pub(super) fn measure(case: TrialCase) -> TrialRow {
        let outcome = run_trial(case);
        let harm = if case.build.is_good() {
            0.0
        } else {
            measure_harm(case)
        };
        TrialRow {
            seed: case.seed,
            build: case.build,
            confounder: case.confounder,
            harm,
            served_share: outcome.served_share(0),
            outcome,
        }
    }

    /// Returns whether the build is good, so that its rollback would be a false one.
    pub(super) fn is_good(&self) -> bool {
        self.build.is_good()
    }

    /// Returns whether the build is harmful, so that it has to be rolled back.
    pub(super) fn is_harmful(&self) -> bool {
        self.harm >= HARM_THRESHOLD
    }

    pub(super) fn was_rolled_back(&self) -> bool {
        self.outcome.rolled_back_after.is_some()
    }

    /// Returns whether the build was not rolled back.
    pub(super) fn has_passed(&self) -> bool {
        !self.was_rolled_back()
    }
}

/// Draws the case of a trial with this seed.
pub(super) fn draw_case(
    seed: u64,
    size: FleetSize,
    rollback_trigger: RollbackTrigger,
) -> TrialCase {
    let mut random = RandomStream::new(seed, CASE_STREAM);
    let build = BuildBehavior::draw(&mut random);
    let drawn = Confounder::ALL[random.index_below(Confounder::ALL.len())];
    let confounder = if random.bernoulli(NO_CONFOUNDER_SHARE) {
        Confounder::None
    } else {
        drawn
    };
    TrialCase {
        seed,
        size,
        profile: SettingsProfile::Standard,
        build,
        confounder,
        rollback_trigger,
    }
}

/// Measures the share of the served weight that the build alone loses, relative to a paired trial
/// with a good build. Neither trial has votes or a confounder.
fn measure_harm(case: TrialCase) -> f64 {
    /// Lower limit of the divisor, which keeps the result finite if nothing is served.
    const MIN_SERVED_SHARE: f64 = 1e-9;
    let first_second = case.size.duration.as_secs() as usize - HARM_WINDOW_SECONDS;
    let served_share = |build: BuildBehavior| {
        let trial = TrialCase {
            build,
            confounder: Confounder::None,
            rollback_trigger: RollbackTrigger::Never,
            ..case
        };
        run_trial(trial).served_share(first_second)
    };
    let bad = served_share(case.build);
    let good = served_share(BuildBehavior::SAME_AS_BASELINE);
    ((good - bad) / good.max(MIN_SERVED_SHARE)).max(0.0)
}
