//! Text for people.

use foxtailgauge_core::{ChangeAnswer, ConfigProblem, ConfigVersion, MemberSet};
use foxtailgauge_wire::api::{AuditReply, HistoryReply};
use foxtailgauge_wire::{DomainStatus, FleetStatus};
use serde::Serialize;
use std::fmt::Write;

/// Prints a value as JSON, or as the text that is made of it.
pub(crate) fn print(is_json: bool, value: &impl Serialize, text: impl FnOnce() -> String) {
    if !is_json {
        print!("{}", text());
        return;
    }
    match serde_json::to_string_pretty(value) {
        Ok(json) => println!("{json}"),
        Err(error) => eprintln!("{error}"),
    }
}

/// One line a problem.
pub(crate) fn problems(problems: &[ConfigProblem]) -> String {
    problems
        .iter()
        .map(|problem| format!("  {problem}\n"))
        .collect()
}

/// Differences line by line.
pub(crate) fn diff(old_label: &str, old: &str, new: &str) -> String {
    let diff = similar::TextDiff::from_lines(old, new);
    diff.unified_diff().header(old_label, "file").to_string()
}

/// One line a revision.
pub(crate) fn history(reply: &HistoryReply) -> String {
    let mut text = String::new();
    for record in &reply.revisions {
        let rollback = match record.rollback_of {
            Some(revision) => format!("  rollback to {revision}"),
            None => String::new(),
        };
        line(
            &mut text,
            format_args!(
                "revision {}  version {}  at {} ms  by {}  change {}{rollback}",
                record.revision, record.version, record.at_ms, record.author, record.change_id
            ),
        );
    }
    text
}

/// One line a change asked for.
pub(crate) fn audit(reply: &AuditReply) -> String {
    let mut text = String::new();
    for entry in &reply.entries {
        let answer = match &entry.answer {
            ChangeAnswer::Accepted { version, revision } => {
                format!("accepted as revision {revision}, version {version}")
            }
            ChangeAnswer::Conflict { current_revision } => {
                format!("refused: team was at revision {current_revision}")
            }
            ChangeAnswer::Invalid { problems } => format!("refused: {} problems", problems.len()),
            ChangeAnswer::ChangeIdReused => "refused: change id reused".to_owned(),
        };
        line(
            &mut text,
            format_args!(
                "{}  at {} ms  by {}  change {}  against revision {}  {answer}",
                entry.number, entry.at_ms, entry.author, entry.change_id, entry.base_revision
            ),
        );
    }
    text
}

/// Daemons of a failure domain that hold the version or a newer one.
pub(crate) fn holders(status: &FleetStatus, domain: &str, version: ConfigVersion) -> MemberSet {
    let mut members = MemberSet::default();
    for count in &status.held {
        if count.failure_domain == domain && count.version >= version {
            members.extend(count.members);
        }
    }
    members
}

/// One line a failure domain: how many of its daemons hold a version.
pub(crate) fn held(status: &FleetStatus, version: ConfigVersion) -> String {
    let mut text = String::new();
    for domain in &status.domains {
        let name = &domain.failure_domain;
        let live = domain.live.daemons;
        let count = holders(status, name, version).daemons.min(live);
        line(
            &mut text,
            format_args!("  {name}: {count} of {live} daemons{}", lost(domain)),
        );
    }
    text
}

fn lost(domain: &DomainStatus) -> String {
    match domain.lost.as_slice() {
        [] => String::new(),
        names => format!("; not heard: {}", names.join(", ")),
    }
}

/// The whole status.
pub(crate) fn status(status: &FleetStatus) -> String {
    let mut text = String::new();
    line(&mut text, format_args!("version {}", status.version));
    text.push_str(&held(status, status.version));
    for domain in &status.domains {
        line(
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
        line(
            &mut text,
            format_args!(
                "group {}: term {}, {} entries, {voters} voters, {learners} learners",
                group.group.as_str(),
                group.term,
                group.commit_index
            ),
        );
    }
    line(
        &mut text,
        format_args!("ledger: {} keys", status.ledger_keys),
    );
    text
}

/// The convergence of the newest version, in one line.
pub(crate) fn convergence(status: &FleetStatus) -> String {
    let parts: Vec<String> = status
        .domains
        .iter()
        .map(|domain| {
            let name = &domain.failure_domain;
            let live = domain.live.daemons;
            let count = holders(status, name, status.version).daemons.min(live);
            let lost = domain.lost.len();
            match lost {
                0 => format!("{name} {count}/{live}"),
                _ => format!("{name} {count}/{live} ({lost} lost)"),
            }
        })
        .collect();
    format!("version {}  {}", status.version, parts.join("  "))
}

fn line(text: &mut String, arguments: std::fmt::Arguments<'_>) {
    // Writing into a string cannot fail.
    let _ = writeln!(text, "{arguments}");
}
