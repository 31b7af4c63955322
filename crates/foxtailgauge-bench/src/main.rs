//! Command line of the test and benchmark tools. Not part of a release.

use clap::{Parser, Subcommand};
use foxtailgauge_bench::{call, fleet, herd, load, measure, plan, plot, relay, stand_in};
use std::process::ExitCode;

/// Test and benchmark tools for a fleet on one machine.
#[derive(Debug, Parser)]
#[command(name = "foxtailgauge-bench", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Generate the settings of a fleet on loopback.
    Plan(plan::PlanArguments),
    /// Record the process ids of a started fleet in its plan.
    Pids(fleet::PidsArguments),
    /// Wait until every daemon of a fleet sees all the others as live.
    Ready(fleet::ReadyArguments),
    /// Run a stand-in backend server.
    Backend(stand_in::StandInArguments),
    /// Run the links between the daemons of a fleet planned with `--cuttable`.
    Relay(relay::RelayArguments),
    /// Send one request and print the response.
    Call(call::CallArguments),
    /// Send requests and measure latency and outcomes.
    Load(load::LoadArguments),
    /// Measure convergence, control traffic, processor time and memory of a started fleet.
    Measure(measure::MeasureArguments),
    /// Restart all daemons except the replicas at once and measure the time until all have the
    /// version in force.
    Herd(herd::HerdArguments),
    /// Draw plots of recorded measurements.
    Plot(plot::PlotArguments),
    /// Generate an idempotency key.
    Key,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let result = async_std::task::block_on(async {
        match arguments.command {
            Command::Plan(arguments) => plan::run(&arguments),
            Command::Pids(arguments) => fleet::record_pids(&arguments),
            Command::Ready(arguments) => fleet::wait_ready(&arguments).await,
            Command::Backend(arguments) => stand_in::run(arguments).await,
            Command::Relay(arguments) => relay::run(&arguments).await,
            Command::Call(arguments) => call::run(&arguments).await,
            Command::Load(arguments) => load::run(&arguments).await,
            Command::Measure(arguments) => measure::run(&arguments).await,
            Command::Herd(arguments) => herd::run(&arguments).await,
            Command::Plot(arguments) => plot::run(&arguments),
            Command::Key => {
                println!("{}", uuid::Uuid::now_v7());
                Ok(())
            }
        }
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:?}");
            ExitCode::FAILURE
        }
    }
}
