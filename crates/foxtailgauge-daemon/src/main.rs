//! The foxtailgauge daemon.

use clap::Parser;
use foxtailgauge_daemon::{load_settings, run};
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code for invalid settings.
const EXIT_SETTINGS: u8 = 2;

/// The foxtailgauge daemon: gateway and executor on every instance, replica where there is a disk.
#[derive(Debug, Parser)]
#[command(name = "foxtailgauged", version)]
struct Arguments {
    /// Settings file, in INI.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Check the settings and stop.
    #[arg(long)]
    check_settings: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let settings = match load_settings(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprint!("{error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if arguments.check_settings {
        println!("{}: valid", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:?}");
            ExitCode::FAILURE
        }
    }
}
