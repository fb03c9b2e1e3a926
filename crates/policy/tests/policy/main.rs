//! Integration tests of the policy: table-driven tests, scenarios in virtual time, and a rule
//! checker over random histories.

mod admission;
mod evaluation;
mod exposure;
mod fleet_baseline;
mod harness;
mod health;
mod idempotency;
mod key_builds;
mod late_connections;
mod retries;
mod routing;
mod rule_checker;
mod sequential_test;
mod snapshot;
mod warm_up;
