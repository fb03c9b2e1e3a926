//! Builds that have answered idempotency keys, for deployments where a key that a later build has
//! answered must not go back to an earlier one.

use std::collections::BTreeMap;

use crate::endpoints::EndpointTable;
use crate::requests::{Request, RequestTable};
use crate::step_context::StepContext;
use crate::types::{AttemptOutcome, BuildNumber};

/// The end of an attempt, by which a build may have answered a key.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PossibleAnswer {
    /// The build to which the attempt was sent.
    pub(crate) build: BuildNumber,
    /// How the attempt ended.
    pub(crate) outcome: AttemptOutcome,
}

/// The latest build that has answered each idempotency key.
///
/// Bounded by [`KeyBuilds::forget_expired`]: a key is dropped once no earlier build is listed.
#[derive(Debug, Default)]
pub(crate) struct KeyBuilds {
    by_key: BTreeMap<String, BuildNumber>,
}

impl KeyBuilds {
    /// Records which build may have answered the key of a request, even if the answer was lost on
    /// its way. A late answer of an earlier build changes nothing.
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

    /// The lowest build to which a request may be sent: the latest one that has answered its key,
    /// or to which it is being sent, which may answer before this instance learns of it.
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

    /// Restores an entry from a snapshot: an instance that had forgotten it could send the key back
    /// to an earlier build.
    pub(crate) fn restore(&mut self, key: &str, build: BuildNumber, context: &StepContext) {
        if context.settings.monotonic_key_builds {
            self.by_key.insert(key.into(), build);
        }
    }

    /// The latest build that has answered a key.
    pub(crate) fn get(&self, key: &str) -> Option<BuildNumber> {
        self.by_key.get(key).copied()
    }

    /// All keys with the latest build that has answered each.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&str, BuildNumber)> {
        let keys = self.by_key.iter();
        keys.map(|(key, build)| (key.as_str(), *build))
    }

    /// Number of keys.
    pub(crate) fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Drops keys that can no longer go back to an earlier build.
    pub(crate) fn forget_expired(&mut self, endpoints: &EndpointTable) {
        if let Some(oldest) = endpoints.oldest_listed_build() {
            self.by_key.retain(|_, build| *build > oldest);
        }
    }
}
