//! Command-line client for the operators of foxtailgauge.

mod arguments;
mod capacity;
mod client;
mod commands;
mod exit;
mod render;

use clap::Parser;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = arguments::Arguments::parse();
    match async_std::task::block_on(commands::run(&arguments)) {
        Ok(exit) => exit.into(),
        Err(error) => {
            eprintln!("{error}");
            exit::Exit::from(&error).into()
        }
    }
}
