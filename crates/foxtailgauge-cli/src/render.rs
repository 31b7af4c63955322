//! Human-readable output of the commands.

use foxtailgauge_core::{ChangeAnswer, ConfigProblem, ConfigVersion, MemberSet, RolloutAnswer};
use foxtailgauge_wire::api::{AuditReply, HistoryReply, RolloutsReply};
use foxtailgauge_wire::{DomainStatus, FleetStatus};
use serde::Serialize;
use std::fmt::Write;

/// Prints a value as JSON, or as the text that `render_text` returns.
pub(crate) fn print_json_or_text(
    is_json: bool,
    value: &impl Serialize,
    render_text: impl FnOnce() -> String,
) {
    if !is_json {
        print!("{}", render_text());
        return;
    }
    match serde_json::to_string_pretty(value) {
        Ok(json) => println!("{json}"),
        Err(error) => eprintln!("{error}"),
    }
}

/// Formats one line per problem.
pub(crate) fn problems(problems: &[ConfigProblem]) -> String {
    problems
        .iter()
        .map(|problem| format!("  {problem}\n"))
        .collect()
}

/// Formats a unified diff.
pub(crate) fn diff(old_label: &str, old: &str, new: &str) -> String {
    let diff = similar::TextDiff::from_lines(old, new);
    diff.unified_diff().header(old_label, "file").to_string()
}

/// Formats one line per revision.
pub(crate) fn history(reply: &HistoryReply) -> String {
    let mut text = String::new();
    for record in &reply.revisions {
        let rollback = match record.rollback_of {
            Some(revision) => format!("  rollback to {revision}"),
            None => String::new(),
        };
        push_line(
            &mut text,
            format_args!(
                "revision {}  version {}  at {} ms  by {}  change {}{rollback}",
                record.revision, record.version, record.at_ms, record.author, record.change_id
            ),
        );
    }
    text
}

/// Formats one line per requested change, accepted or not.
pub(crate) fn audit(reply: &AuditReply) -> String {
    let mut text = String::new();
    for entry in &reply.entries {
        let result = match &entry.answer {
            ChangeAnswer::Accepted { version, revision } => {
                format!("accepted as revision {revision}, version {version}")
            }
            ChangeAnswer::Conflict { current_revision } => {
                format!("refused: team was at revision {current_revision}")
            }
            ChangeAnswer::Invalid { problems } => format!("refused: {} problems", problems.len()),
            ChangeAnswer::ChangeIdReused => "refused: change id reused".to_owned(),
            ChangeAnswer::BaseMissing => "not decided: base missing".to_owned(),
        };
        push_line(
            &mut text,
            format_args!(
                "{}  at {} ms  by {}  change {}  against revision {}  {result}",
                entry.number, entry.at_ms, entry.author, entry.change_id, entry.base_revision
            ),
        );
    }
    text
}

/// Formats the answer to the order of a rollout.
pub(crate) fn rollout_answer(answer: &RolloutAnswer) -> String {
    match answer {
        RolloutAnswer::Accepted { version } => format!("ordered in version {version}\n"),
        RolloutAnswer::InProgress => "refused: a rollout is in progress\n".to_owned(),
        RolloutAnswer::UnknownService => "refused: unknown service\n".to_owned(),
        RolloutAnswer::BadDuration => "refused: duration is 0 or above a day\n".to_owned(),
        RolloutAnswer::BadVersion => "refused: version is empty or too long\n".to_owned(),
        RolloutAnswer::Outdated => "refused: out of date\n".to_owned(),
    }
}

/// Formats one line per service: its latest rollout.
pub(crate) fn rollouts(reply: &RolloutsReply) -> String {
    let mut text = String::new();
    for (service, rollout) in &reply.latest {
        push_line(
            &mut text,
            format_args!(
                "{service}  {}  {}  share {} of 1000  ordered at {} ms for {} ms",
                rollout.target_version,
                rollout.phase.as_str(),
                rollout.share_milli,
                rollout.ordered_at_ms,
                rollout.duration_ms
            ),
        );
    }
    text
}

/// Formats one line per step of a rollout.
pub(crate) fn rollout_steps(reply: &RolloutsReply) -> String {
    let mut text = String::new();
    for record in &reply.records {
        push_line(
            &mut text,
            format_args!(
                "{}  at {} ms  by {}  {}  {}  share {} of 1000  {}",
                record.number,
                record.at_ms,
                record.author,
                record.target_version,
                record.phase.as_str(),
                record.share_milli,
                record.reason
            ),
        );
    }
    text
}

/// Returns the daemons of a failure domain that have the version or a newer one.
pub(crate) fn daemons_at_version(
    status: &FleetStatus,
    domain: &str,
    version: ConfigVersion,
) -> MemberSet {
    let mut members = MemberSet::default();
    for count in &status.held {
        if count.failure_domain == domain && count.version >= version {
            members.extend(count.members);
        }
    }
    members
}

/// Formats one line per failure domain: how many of its live daemons have the version or a newer
/// one.
pub(crate) fn version_counts(status: &FleetStatus, version: ConfigVersion) -> String {
    let mut text = String::new();
    for domain in &status.domains {
        let name = &domain.failure_domain;
        let live = domain.live.daemons;
        let count = daemons_at_version(status, name, version).daemons.min(live);
        push_line(
            &mut text,
            format_args!(
                "  {name}: {count} of {live} daemons{}",
                unreachable_suffix(domain)
            ),
        );
    }
    text
}

/// Formats the names of the unreachable daemons, as the end of a line.
fn unreachable_suffix(domain: &DomainStatus) -> String {
    match domain.lost.as_slice() {
        [] => String::new(),
        names => format!("; unreachable: {}", names.join(", ")),
    }
}

/// Formats the status of the fleet.
pub(crate) fn status(status: &FleetStatus) -> String {
    let mut text = String::new();
    push_line(&mut text, format_args!("version {}", status.version));
    text.push_str(&version_counts(status, status.version));
    for domain in &status.domains {
        push_line(
            &mut text,
            format_args!(
                "  {}: {} backend servers ready, {} leaving",
                domain.failure_domain, domain.ready_servers, domain.leaving_servers
            ),
        );
    }
    for group in &status.groups {
        let voters = group.members.voters().count();
        let learners = group.members.members.len() - voters;
        push_line(
            &mut text,
            format_args!(
                "group {}: term {}, {} entries, {voters} voters, {learners} learners",
                group.group.as_str(),
                group.term,
                group.commit_index
            ),
        );
    }
    push_line(
        &mut text,
        format_args!("ledger: {} keys", status.ledger_keys),
    );
    text.push_str(&limited_workspaces(status));
    text
}

/// Formats the workspaces over their allotments as a table; empty without any.
fn limited_workspaces(status: &FleetStatus) -> String {
    let names = status.limited.iter().map(|limited| limited.workspace.len());
    let Some(width) = names.max() else {
        return String::new();
    };
    let width = width.max("limited workspace".len());
    let mut text = String::new();
    push_line(
        &mut text,
        format_args!("{:width$}  rate_per_s  admitted", "limited workspace"),
    );
    for limited in &status.limited {
        push_line(
            &mut text,
            format_args!(
                "{:width$}  {:>10.3}  {:>7.1}%",
                limited.workspace,
                limited.rate_milli as f64 / 1_000.0,
                f64::from(limited.share_ppm) / 10_000.0
            ),
        );
    }
    text
}

/// Formats in one line how many daemons of each failure domain have the newest version.
pub(crate) fn convergence_line(status: &FleetStatus) -> String {
    let counts: Vec<String> = status
        .domains
        .iter()
        .map(|domain| {
            let name = &domain.failure_domain;
            let live = domain.live.daemons;
            let count = daemons_at_version(status, name, status.version)
                .daemons
                .min(live);
            let unreachable_count = domain.lost.len();
            match unreachable_count {
                0 => format!("{name} {count}/{live}"),
                _ => format!("{name} {count}/{live} ({unreachable_count} unreachable)"),
            }
        })
        .collect();
    format!("version {}  {}", status.version, counts.join("  "))
}

fn push_line(text: &mut String, arguments: std::fmt::Arguments<'_>) {
    // Writing to a `String` cannot fail.
    let _ = writeln!(text, "{arguments}");
}
