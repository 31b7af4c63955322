//! Implementation of the commands.

use crate::arguments::{Arguments, ChangeArguments, Command, RolloutAction, StatusArguments};
use crate::capacity;
use crate::client::{read_file, Client, ClientError};
use crate::exit::Exit;
use crate::render;
use foxtailgauge_core::{ChangeAnswer, ConfigVersion, RolloutAnswer};
use foxtailgauge_wire::api::{ChangeBody, ChangeReply, RolloutBody};
use foxtailgauge_wire::FleetStatus;
use std::time::{Duration, Instant};
use uuid::Uuid;

/// Interval between two status requests while waiting for a version to be in force.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(50);

pub(crate) async fn run(arguments: &Arguments) -> Result<Exit, ClientError> {
    let client = Client::new(&arguments.admin, arguments.token_file.as_deref())?;
    let is_json = arguments.json;
    match &arguments.command {
        Command::Check { team, file } => check(&client, &team.team, &read_file(file)?).await,
        Command::Diff { team, file } => diff(&client, &team.team, &read_file(file)?).await,
        Command::Apply { team, change, file } => {
            let text = read_file(file)?;
            apply(&client, &team.team, change, text, None).await
        }
        Command::Rollback { team, change, to } => rollback(&client, &team.team, change, *to).await,
        Command::Get { team, revision } => get(&client, &team.team, *revision).await,
        Command::History { team } => {
            let reply = client.history(&team.team).await?;
            render::print_json_or_text(is_json, &reply, || render::history(&reply));
            Ok(Exit::Success)
        }
        Command::Audit { team } => {
            let reply = client.audit(&team.team).await?;
            render::print_json_or_text(is_json, &reply, || render::audit(&reply));
            Ok(Exit::Success)
        }
        Command::Status { view } => status(&client, view, is_json).await,
        Command::Rollout { action } => rollout(&client, action, is_json).await,
        Command::Forget { daemon } => {
            client.forget(daemon).await?;
            Ok(Exit::Success)
        }
        Command::Watch { timeout_s, keep } => watch(&client, *timeout_s, *keep).await,
    }
}

async fn status(
    client: &Client,
    view: &StatusArguments,
    is_json: bool,
) -> Result<Exit, ClientError> {
    if view.servers {
        let reply = client.servers(view.service.as_deref()).await?;
        let is_one_service = view.service.is_some();
        render::print_json_or_text(is_json, &reply, || {
            capacity::servers(&reply, is_one_service)
        });
    } else if view.workspaces {
        let reply = client.workspaces().await?;
        render::print_json_or_text(is_json, &reply, || capacity::workspaces(&reply));
    } else {
        let status = client.status().await?;
        render::print_json_or_text(is_json, &status, || render::status(&status));
    }
    Ok(Exit::Success)
}

async fn rollout(
    client: &Client,
    action: &RolloutAction,
    is_json: bool,
) -> Result<Exit, ClientError> {
    match action {
        RolloutAction::Start {
            service,
            version,
            duration_s,
            author,
        } => {
            let order = RolloutBody {
                service: service.clone(),
                target_version: version.clone(),
                duration_ms: duration_s.saturating_mul(1_000),
                author: author.clone(),
            };
            let reply = client.start_rollout(&order).await?;
            render::print_json_or_text(is_json, &reply, || render::rollout_answer(&reply.answer));
            Ok(match reply.answer {
                RolloutAnswer::Accepted { .. } => Exit::Success,
                _ => Exit::Refused,
            })
        }
        RolloutAction::Show { service } => {
            let reply = client.rollouts(Some(service)).await?;
            render::print_json_or_text(is_json, &reply, || render::rollout_steps(&reply));
            Ok(Exit::Success)
        }
        RolloutAction::List => {
            let reply = client.rollouts(None).await?;
            render::print_json_or_text(is_json, &reply, || render::rollouts(&reply));
            Ok(Exit::Success)
        }
    }
}

async fn check(client: &Client, team: &str, text: &str) -> Result<Exit, ClientError> {
    let reply = client.check(team, text).await?;
    if reply.problems.is_empty() {
        println!("valid");
        return Ok(Exit::Success);
    }
    print!("{}", render::problems(&reply.problems));
    Ok(Exit::Refused)
}

async fn diff(client: &Client, team: &str, text: &str) -> Result<Exit, ClientError> {
    let current = client.revision(team, None).await?;
    let (label, old) = match &current {
        Some(record) => (
            format!("revision {}", record.revision),
            record.text.as_str(),
        ),
        None => ("nothing".to_owned(), ""),
    };
    print!("{}", render::diff(&label, old, text));
    Ok(Exit::Success)
}

async fn get(client: &Client, team: &str, revision: Option<u64>) -> Result<Exit, ClientError> {
    match client.revision(team, revision).await? {
        Some(record) => {
            print!("{}", record.text);
            Ok(Exit::Success)
        }
        None => {
            eprintln!("no such revision");
            Ok(Exit::Refused)
        }
    }
}

async fn rollback(
    client: &Client,
    team: &str,
    change: &ChangeArguments,
    to: u64,
) -> Result<Exit, ClientError> {
    match client.revision(team, Some(to)).await? {
        Some(record) => apply(client, team, change, record.text, Some(to)).await,
        None => {
            eprintln!("no such revision");
            Ok(Exit::Refused)
        }
    }
}

async fn apply(
    client: &Client,
    team: &str,
    change: &ChangeArguments,
    text: String,
    rollback_of: Option<u64>,
) -> Result<Exit, ClientError> {
    let base_revision = match change.base_revision {
        Some(revision) => revision,
        None => client
            .revision(team, None)
            .await?
            .map_or(0, |record| record.revision),
    };
    let change_id = change
        .change_id
        .clone()
        .unwrap_or_else(|| Uuid::now_v7().to_string());
    let body = ChangeBody {
        change_id: change_id.clone(),
        base_revision,
        text,
        author: change.author.clone(),
        rollback_of,
    };
    let started = Instant::now();
    match client.change(team, &body).await {
        Ok(reply) => finish_change(client, change, &reply, started).await,
        Err(ClientError::OutcomeUnknown) => {
            println!(
                "outcome unknown: retry with --change-id {change_id} \
                 --base-revision {base_revision}"
            );
            Ok(Exit::OutcomeUnknown)
        }
        Err(error) => Err(error),
    }
}

/// Prints the reply to a change and, if requested, waits until the change is in force everywhere.
async fn finish_change(
    client: &Client,
    change: &ChangeArguments,
    reply: &ChangeReply,
    started: Instant,
) -> Result<Exit, ClientError> {
    println!("change {}", reply.change_id);
    match &reply.answer {
        ChangeAnswer::Accepted { version, revision } => {
            println!("accepted: version {version}, revision {revision}");
            if !change.wait {
                return Ok(Exit::Success);
            }
            let timeout = Duration::from_secs(change.timeout_s);
            wait_until_in_force(client, *version, started, timeout).await
        }
        ChangeAnswer::Conflict { current_revision } => {
            println!("refused: the team is at revision {current_revision} now");
            Ok(Exit::Refused)
        }
        ChangeAnswer::Invalid { problems } => {
            println!("refused; nothing was changed:");
            print!("{}", render::problems(problems));
            Ok(Exit::Refused)
        }
        ChangeAnswer::ChangeIdReused => {
            println!("refused: the change id was used for another change");
            Ok(Exit::Refused)
        }
        ChangeAnswer::BaseMissing => {
            println!("not decided: the document it is based on is not in place");
            Ok(Exit::Unavailable)
        }
    }
}

async fn wait_until_in_force(
    client: &Client,
    version: ConfigVersion,
    started: Instant,
    timeout: Duration,
) -> Result<Exit, ClientError> {
    loop {
        let status = client.status().await;
        if let Ok(status) = &status {
            if is_in_force_everywhere(status, version) {
                print!("{}", render::version_counts(status, version));
                println!(
                    "in force everywhere after {} ms",
                    started.elapsed().as_millis()
                );
                return Ok(Exit::Success);
            }
        }
        if started.elapsed() > timeout {
            if let Ok(status) = &status {
                print!("{}", render::version_counts(status, version));
            }
            println!(
                "accepted, but not in force everywhere after {} s",
                timeout.as_secs()
            );
            return Ok(Exit::WaitTimedOut);
        }
        async_std::task::sleep(STATUS_POLL_INTERVAL).await;
    }
}

/// Returns whether every daemon has the version or a newer one. An unreachable daemon may be
/// partitioned and still serve an older version, so the result is `false` until it is back or
/// forgotten.
fn is_in_force_everywhere(status: &FleetStatus, version: ConfigVersion) -> bool {
    !status.domains.is_empty()
        && status.domains.iter().all(|domain| {
            let at_version = render::daemons_at_version(status, &domain.failure_domain, version);
            domain.lost.is_empty() && at_version == domain.live
        })
}

async fn watch(client: &Client, timeout_s: u64, keep: bool) -> Result<Exit, ClientError> {
    let started = Instant::now();
    let mut last_line = String::new();
    loop {
        let status = client.status().await?;
        let line = render::convergence_line(&status);
        if line != last_line {
            println!("{:>7} ms  {line}", started.elapsed().as_millis());
            last_line = line;
        }
        let is_converged = is_in_force_everywhere(&status, status.version);
        if is_converged && !keep {
            return Ok(Exit::Success);
        }
        if started.elapsed() > Duration::from_secs(timeout_s) {
            return Ok(if is_converged {
                Exit::Success
            } else {
                Exit::WaitTimedOut
            });
        }
        async_std::task::sleep(STATUS_POLL_INTERVAL).await;
    }
}
