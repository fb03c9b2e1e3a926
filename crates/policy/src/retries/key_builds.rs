//! Latest build that answered each idempotency key, for deployments in which a key must not be sent
//! to an earlier build than one that has already answered it. A build answers a key when it
//! responds to a request with that key, even if the response is lost in transit.

use std::collections::BTreeMap;

use crate::endpoints::EndpointTable;
use crate::requests::{Request, RequestTable};
use crate::step_context::StepContext;
use crate::types::{AttemptOutcome, BuildNumber};

/// Result of an attempt with which a build may have answered an idempotency key.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PossibleAnswer {
    /// Build to which the attempt was sent.
    pub(crate) build: BuildNumber,
    /// How the attempt ended.
    pub(crate) outcome: AttemptOutcome,
}

/// Maps each idempotency key to the latest build that has answered it.
///
/// [`KeyBuilds::remove_expired`] bounds its size: a key is removed once no endpoint with an earlier
/// build is listed.
#[derive(Debug, Default)]
pub(crate) struct KeyBuilds {
    by_key: BTreeMap<String, BuildNumber>,
}

impl KeyBuilds {
    /// Records the build that may have answered the key of a request, even if its response was lost
    /// in transit. A late response from an earlier build has no effect.
    pub(crate) fn record(
        &mut self,
        request: &Request,
        answer: PossibleAnswer,
        context: &StepContext,
    ) {
        let PossibleAnswer { build, outcome } = answer;
        let cannot_have_answered = matches!(
            outcome,
            AttemptOutcome::Failed | AttemptOutcome::InvalidRequest
        );
        if cannot_have_answered
            || outcome.never_executed()
            || !context.settings.monotonic_key_builds
        {
            return;
        }
        if let Some(key) = &request.idempotency_key {
            let latest = self.by_key.entry(key.clone()).or_default();
            *latest = build.max(*latest);
        }
    }

    /// Returns the lowest build to which a request may be sent: the latest one that has answered
    /// its key or has an attempt with the key in flight. Attempts in flight count because their
    /// build may answer before this instance receives the response.
    pub(crate) fn lowest_build(
        &self,
        request: &Request,
        requests: &RequestTable,
        context: &StepContext,
    ) -> BuildNumber {
        let key = request.idempotency_key.as_deref();
        let Some(key) = key.filter(|_| context.settings.monotonic_key_builds) else {
            return BuildNumber::default();
        };
        let in_flight = requests.latest_build_in_flight(key);
        self.get(key).max(in_flight).unwrap_or_default()
    }

    /// Restores an entry from a snapshot. Without it, the key could be sent to an earlier build
    /// after a restart of this instance.
    pub(crate) fn restore(&mut self, key: &str, build: BuildNumber, context: &StepContext) {
        if context.settings.monotonic_key_builds {
            self.by_key.insert(key.into(), build);
        }
    }

    /// Returns the latest build that has answered a key.
    pub(crate) fn get(&self, key: &str) -> Option<BuildNumber> {
        self.by_key.get(key).copied()
    }

    /// Returns all keys with the latest build that has answered each.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&str, BuildNumber)> {
        let keys = self.by_key.iter();
        keys.map(|(key, build)| (key.as_str(), *build))
    }

    pub(crate) fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Removes keys that cannot be sent to an earlier build, because none is listed.
    pub(crate) fn remove_expired(&mut self, endpoints: &EndpointTable) {
        if let Some(oldest) = endpoints.oldest_listed_build() {
            self.by_key.retain(|_, build| *build > oldest);
        }
    }
}
