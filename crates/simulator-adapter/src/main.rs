//! `tidescale-simhost`: runs the policy on the operators' bench. Batches of events are read as
//! lines from stdin, decisions are written as lines to stdout; all decisions are made by the
//! policy.
//!
//! A batch is
//!
//! ```text
//! MARK <milliseconds> <batch number>
//! AT <instance>
//! <events of this instance, one a line>
//! …
//! OVER_TO_YOU
//! ```
//!
//! and its reply is `INSTANCE <instance>` and that instance's decisions, for each instance that was
//! named and runs, followed by `ACK <batch number>`. Input that cannot be parsed ends the program
//! with `INTERNAL_ERROR <message>` as its last line, the same message on stderr and a non-zero exit
//! status.
//!
//! [`adapter`] is the loop over batches and [`batch`] the events of one batch; [`event`] and
//! [`endpoint_list`] parse the lines; [`event_source`] and [`decision_writer`] implement the two
//! traits of a host of the policy.

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
