//! The command line.

use clap::{Args, Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Changes and watches the configuration of a foxtailgauge fleet.
#[derive(Debug, Parser)]
#[command(name = "foxtailgauge", version)]
pub(crate) struct Arguments {
    /// Admin addresses of one or more daemons; the first that answers is used.
    #[arg(
        long,
        global = true,
        env = "FOXTAILGAUGE_ADMIN",
        value_delimiter = ',',
        default_value = "127.0.0.1:7701"
    )]
    pub(crate) admin: Vec<SocketAddr>,
    /// File that holds the token.
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

/// A team.
#[derive(Debug, Args)]
pub(crate) struct TeamArgument {
    /// Team whose subtree is meant.
    #[arg(long, env = "FOXTAILGAUGE_TEAM")]
    pub(crate) team: String,
}

/// How a change is made.
#[derive(Debug, Args)]
pub(crate) struct ChangeArguments {
    /// Change id of an earlier try whose outcome is unknown.
    #[arg(long)]
    pub(crate) change_id: Option<String>,
    /// Revision the change was made against; by default the current one.
    #[arg(long)]
    pub(crate) base_revision: Option<u64>,
    /// Name for the audit trail.
    #[arg(long, env = "USER", default_value = "unknown")]
    pub(crate) author: String,
    /// Wait until every daemon holds the change.
    #[arg(long)]
    pub(crate) wait: bool,
    /// Longest time to wait, in seconds.
    #[arg(long, default_value_t = 13)]
    pub(crate) timeout_s: u64,
}

/// Commands.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Check a file against the whole configuration without changing anything.
    Check {
        #[command(flatten)]
        team: TeamArgument,
        /// The team's whole new text.
        file: PathBuf,
    },
    /// Show what a file would change.
    Diff {
        #[command(flatten)]
        team: TeamArgument,
        /// The team's whole new text.
        file: PathBuf,
    },
    /// Replace the team's subtree by a file.
    Apply {
        #[command(flatten)]
        team: TeamArgument,
        #[command(flatten)]
        change: ChangeArguments,
        /// The team's whole new text.
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
    /// Print the team's text.
    Get {
        #[command(flatten)]
        team: TeamArgument,
        /// Revision; by default the current one.
        #[arg(long)]
        revision: Option<u64>,
    },
    /// List the team's revisions.
    History {
        #[command(flatten)]
        team: TeamArgument,
    },
    /// List every change asked for, accepted or not.
    Audit {
        #[command(flatten)]
        team: TeamArgument,
    },
    /// Show where the fleet stands.
    Status,
    /// Say that a lost daemon does not come back.
    Forget {
        /// Its name.
        daemon: String,
    },
    /// Follow the fleet until every daemon holds the newest version.
    Watch {
        /// Longest time to watch, in seconds.
        #[arg(long, default_value_t = 60)]
        timeout_s: u64,
        /// Go on after every daemon holds the newest version.
        #[arg(long)]
        keep: bool,
    },
}
