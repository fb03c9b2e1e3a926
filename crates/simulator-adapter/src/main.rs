//! `tidescale-simhost`: runs the policy in the operators' simulator. It reads batches of events as
//! lines from stdin and writes the policy's decisions as lines to stdout. It makes no decisions of
//! its own.
//!
//! A batch has the form
//!
//! ```text
//! MARK <milliseconds> <batch number>
//! AT <instance>
//! <events of this instance, one a line>
//! …
//! OVER_TO_YOU
//! ```
//!
//! The reply has `INSTANCE <instance>` and that instance's decisions for each running instance that
//! the batch names, followed by `ACK <batch number>`. On input that cannot be parsed, the program
//! writes `INTERNAL_ERROR <message>` as its last line, writes the same message to stderr and exits
//! with a non-zero status.
//!
//! [`adapter`] loops over the batches and [`batch`] holds the events of one batch. [`event`] and
//! [`endpoint_list`] parse the lines. [`event_source`] and [`decision_writer`] implement
//! [`EventSource`](tidescale_policy::EventSource) and
//! [`DecisionSink`](tidescale_policy::host::DecisionSink), the policy's interfaces to its host.

mod adapter;
mod batch;
mod decision_writer;
mod endpoint_list;
mod error;
mod event;
mod event_source;
mod fields;
mod instance;
mod numbers;
mod route_names;

use std::io;
use std::process::ExitCode;

use crate::adapter::Adapter;

fn main() -> ExitCode {
    let result = Adapter::new(io::stdin().lock(), io::stdout().lock()).run();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tidescale-simhost: {error}");
            println!("INTERNAL_ERROR {error}");
            ExitCode::FAILURE
        }
    }
}
