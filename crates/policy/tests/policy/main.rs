//! The policy by tables of cases and in virtual time.

mod admission;
mod evaluation;
mod guards;
mod harness;
mod health;
mod retries;
mod routing;
mod rule_checker;
mod snapshot;
