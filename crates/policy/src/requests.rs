//! Open requests and the states of their attempts.

mod attempt;
mod request;
mod table;

pub(crate) use attempt::{Attempt, AttemptConditions, AwaitingResponse};
pub(crate) use request::Request;
pub(crate) use table::{RequestTable, WaitingAttempt};
