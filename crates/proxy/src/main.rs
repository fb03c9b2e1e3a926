//! The `tidescale` binary: parses the command line and runs the command. An error is reported as
//! one line on standard error.

use std::error::Error;
use std::path::Path;
use std::process::ExitCode;

use clap::Parser;
use tidescale_proxy::cli::{self, Cli, Command};
use tidescale_proxy::start;

/// Exit code for invalid arguments, the same as that of clap.
const USAGE_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    let cli = match parse_arguments() {
        Ok(cli) => cli,
        Err(exit_code) => return exit_code,
    };
    run(&cli).unwrap_or_else(|error| {
        eprintln!("tidescale: {}", error.to_string().replace('\n', " "));
        ExitCode::FAILURE
    })
}

fn run(cli: &Cli) -> Result<ExitCode, Box<dyn Error>> {
    match &cli.command {
        None => serve(None),
        Some(Command::Run(run)) => serve(run.operators.as_deref()),
        Some(Command::Explain { log }) => Ok(cli::explain(log.as_deref())?),
        Some(Command::Snapshot(command)) => Ok(cli::snapshot(command)?),
    }
}

fn serve(operators_path: Option<&Path>) -> Result<ExitCode, Box<dyn Error>> {
    start::serve(std::env::var_os("PROXY_CONFIG"), operators_path)?;
    Ok(ExitCode::SUCCESS)
}

/// Parses the command line. For `--help`, `--version` and invalid arguments, prints the help, the
/// version or one line with the error, and returns the exit code as `Err`.
fn parse_arguments() -> Result<Cli, ExitCode> {
    Cli::try_parse().map_err(|error| {
        if !error.use_stderr() {
            // A failure to print the help or the version is ignored.
            let _ = error.print();
            return ExitCode::SUCCESS;
        }
        let text = error.to_string();
        let line = text
            .lines()
            .find(|line| !line.trim().is_empty())
            .unwrap_or_default();
        eprintln!("tidescale: {}", line.trim_start_matches("error: "));
        ExitCode::from(USAGE_EXIT_CODE)
    })
}
