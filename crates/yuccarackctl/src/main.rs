//! Entry point of `yuccarackctl`: parses the command line, runs the command and prints its report.

use std::process::ExitCode;

use bpaf::{Args, ParseFailure};
use yuccarackctl::{CtlError, ExitStatus, Report, command, run};

/// Width at which help pages are wrapped, in columns.
const HELP_COLUMNS: usize = 100;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let command = match command().run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return print_usage(&failure),
    };
    let as_json = command.common().json;
    match run(command).await {
        Ok(report) => print_report(&report, as_json),
        Err(error) => print_error(&error, as_json),
    }
}

fn print_usage(failure: &ParseFailure) -> ExitCode {
    failure.print_message(HELP_COLUMNS);
    match failure {
        ParseFailure::Stderr(_) => ExitStatus::Usage.into(),
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitStatus::Ok.into(),
    }
}

fn print_report(report: &Report, as_json: bool) -> ExitCode {
    match as_json {
        true => println!("{:#}", report.json),
        false => println!("{}", report.text),
    }
    report.exit_status.into()
}

fn print_error(error: &CtlError, as_json: bool) -> ExitCode {
    eprintln!("{error}");
    if as_json {
        println!("{:#}", error.to_json());
    }
    error.exit_status().into()
}
