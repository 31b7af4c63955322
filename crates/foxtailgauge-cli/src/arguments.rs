//! Command-line arguments.

use clap::{Args, Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Changes and monitors the configuration of a foxtailgauge fleet.
#[derive(Debug, Parser)]
#[command(name = "foxtailgauge", version)]
pub(crate) struct Arguments {
    /// Admin addresses of one or more daemons; the first that responds is used.
    #[arg(
        long,
        global = true,
        env = "FOXTAILGAUGE_ADMIN",
        value_delimiter = ',',
        default_value = "127.0.0.1:7701"
    )]
    pub(crate) admin: Vec<SocketAddr>,
    /// File that contains the bearer token.
    #[arg(
        long,
        global = true,
        env = "FOXTAILGAUGE_TOKEN_FILE",
        value_name = "FILE"
    )]
    pub(crate) token_file: Option<PathBuf>,
    /// Print JSON instead of text.
    #[arg(long, global = true)]
    pub(crate) json: bool,
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// Argument that names the team.
#[derive(Debug, Args)]
pub(crate) struct TeamArgument {
    /// Team whose configuration the command applies to.
    #[arg(long, env = "FOXTAILGAUGE_TEAM")]
    pub(crate) team: String,
}

/// Arguments of the commands that change the configuration.
#[derive(Debug, Args)]
pub(crate) struct ChangeArguments {
    /// Change id of an earlier attempt whose outcome is unknown.
    #[arg(long)]
    pub(crate) change_id: Option<String>,
    /// Revision that the change is based on; by default the current one.
    #[arg(long)]
    pub(crate) base_revision: Option<u64>,
    /// Author recorded in the audit trail.
    #[arg(long, env = "USER", default_value = "unknown")]
    pub(crate) author: String,
    /// Wait until the change is in force on every daemon.
    #[arg(long)]
    pub(crate) wait: bool,
    /// Maximum time to wait, in seconds.
    #[arg(long, default_value_t = 13)]
    pub(crate) timeout_s: u64,
}

/// Arguments that select what the status shows.
#[derive(Debug, Args)]
pub(crate) struct StatusArguments {
    /// Show slots, load, pace and stated rates of backend servers by service and failure domain.
    #[arg(long, conflicts_with = "workspaces")]
    pub(crate) servers: bool,
    /// Show the workspaces that send more than their allotment.
    #[arg(long)]
    pub(crate) workspaces: bool,
    /// Show each backend server of a service, given as TEAM/SERVICE.
    #[arg(long, requires = "servers", value_name = "SERVICE")]
    pub(crate) service: Option<String>,
}

#[derive(Debug, Subcommand)]
pub(crate) enum RolloutAction {
    /// Order a rollout.
    Start {
        /// Service, as TEAM/SERVICE.
        service: String,
        /// Version that the new backend servers report.
        version: String,
        /// Time until the version is completed or rolled back, in seconds.
        #[arg(long, default_value_t = 60)]
        duration_s: u64,
        /// Author recorded with the order.
        #[arg(long, env = "USER", default_value = "unknown")]
        author: String,
    },
    /// Show the steps of the rollouts of a service, with the figures that decided them.
    Show {
        /// Service, as TEAM/SERVICE.
        service: String,
    },
    /// List the latest rollout of each service.
    List,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Validate a file against the whole configuration without changing anything.
    Check {
        #[command(flatten)]
        team: TeamArgument,
        /// File with the complete new configuration text of the team.
        file: PathBuf,
    },
    /// Show what a file would change.
    Diff {
        #[command(flatten)]
        team: TeamArgument,
        /// File with the complete new configuration text of the team.
        file: PathBuf,
    },
    /// Replace the team's configuration with the contents of a file.
    Apply {
        #[command(flatten)]
        team: TeamArgument,
        #[command(flatten)]
        change: ChangeArguments,
        /// File with the complete new configuration text of the team.
        file: PathBuf,
    },
    /// Restore an earlier revision, as a new one.
    Rollback {
        #[command(flatten)]
        team: TeamArgument,
        #[command(flatten)]
        change: ChangeArguments,
        /// Revision to restore.
        #[arg(long)]
        to: u64,
    },
    /// Print the team's configuration text.
    Get {
        #[command(flatten)]
        team: TeamArgument,
        /// Revision to print; by default the current one.
        #[arg(long)]
        revision: Option<u64>,
    },
    /// List the team's revisions.
    History {
        #[command(flatten)]
        team: TeamArgument,
    },
    /// List every requested change, accepted or not.
    Audit {
        #[command(flatten)]
        team: TeamArgument,
    },
    /// Roll out a new version of a service's backend servers.
    Rollout {
        #[command(subcommand)]
        action: RolloutAction,
    },
    /// Show the status of the fleet, or its capacity.
    Status {
        #[command(flatten)]
        view: StatusArguments,
    },
    /// Declare that an unreachable daemon will not return.
    Forget {
        /// Name of the daemon.
        daemon: String,
    },
    /// Print the progress of the newest version until it is in force on every daemon.
    Watch {
        /// Maximum time to watch, in seconds.
        #[arg(long, default_value_t = 60)]
        timeout_s: u64,
        /// Keep watching after the newest version is in force on every daemon.
        #[arg(long)]
        keep: bool,
    },
}
