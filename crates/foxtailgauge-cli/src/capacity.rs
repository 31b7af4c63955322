//! Tables of the capacity of a fleet, short enough for a terminal.

use comfy_table::{presets, CellAlignment, ContentArrangement, Table};
use foxtailgauge_core::{LocatedLoad, ServerGroup, ServerState, Summary, WorkspaceLoad};
use foxtailgauge_wire::api::{MissingDaemons, ServersReply, WorkspacesReply};

/// Most rows of a table without a filter. With the head, the sum of the others and the lines below,
/// the output has at most 40 lines.
const MAX_ROWS: usize = 35;
/// Most names in the line of missing daemons.
const MAX_NAMES: usize = 8;

/// Formats the sums by service and failure domain, or one line per backend server of a service.
pub(crate) fn servers(reply: &ServersReply, is_one_service: bool) -> String {
    let table = match is_one_service {
        true => server_table(&reply.servers),
        false => group_table(&reply.groups),
    };
    let daemons = reply.answered + reply.missing.count;
    let mut lines = vec![table.trim_fmt()];
    if reply.servers_left_out > 0 {
        lines.push(format!(
            "{} more backend servers are not listed",
            reply.servers_left_out
        ));
    }
    lines.push(format!("{} of {daemons} daemons answered", reply.answered));
    lines.extend(missing("daemons", &reply.missing));
    lines.join("\n") + "\n"
}

/// Formats one line per limited workspace.
pub(crate) fn workspaces(reply: &WorkspacesReply) -> String {
    let summary = reply
        .workspaces
        .clone()
        .shortened(MAX_ROWS, WorkspaceLoad::add);
    let head = [
        "limited workspace",
        "rate_per_s",
        "burst",
        "admitted",
        "demand_per_s",
    ];
    let mut table = table(&head, 1);
    for workspace in &summary.entries {
        table.add_row(workspace_row(&workspace.workspace, workspace));
    }
    if let Some(sum) = &summary.others_sum {
        table.add_row(workspace_row(&others(summary.others), sum));
    }
    let mut lines = match summary.entries.is_empty() {
        true => vec!["no workspace is limited".to_owned()],
        false => vec![table.trim_fmt()],
    };
    lines.push(format!("sums of {}", reply.collector));
    lines.extend(missing("replicas", &reply.missing));
    lines.join("\n") + "\n"
}

/// An empty table without borders, whose first columns are aligned to the left.
fn table(head: &[&str], left_columns: usize) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(head);
    // Rows are never broken, so that they can be searched line by line.
    table.set_content_arrangement(ContentArrangement::Disabled);
    for (index, column) in table.column_iter_mut().enumerate() {
        column.set_padding((0, 2));
        if index >= left_columns {
            column.set_cell_alignment(CellAlignment::Right);
        }
    }
    table
}

fn group_table(groups: &Summary<ServerGroup>) -> Table {
    let summary = groups.clone().shortened(MAX_ROWS, ServerGroup::add);
    let head = [
        "service",
        "domain",
        "servers",
        "ready",
        "slots",
        "running",
        "waiting",
        "pace",
        "rate_per_s",
        "unanswered",
    ];
    let mut table = table(&head, 2);
    for group in &summary.entries {
        table.add_row(group_row(&group.service, group));
    }
    if let Some(sum) = &summary.others_sum {
        table.add_row(group_row(&others(summary.others), sum));
    }
    table
}

fn group_row(name: &str, group: &ServerGroup) -> Vec<String> {
    let pace = match (group.lowest_pace_percent, group.highest_pace_percent) {
        (Some(lowest), Some(highest)) if lowest == highest => format!("{lowest}%"),
        (Some(lowest), Some(highest)) => format!("{lowest}-{highest}%"),
        _ => "-".to_owned(),
    };
    let rate = match group.rate_limited {
        0 => "-".to_owned(),
        servers => format!("{} of {servers}", per_s(group.rate_limit_milli)),
    };
    let mut row = vec![name.to_owned(), group.failure_domain.clone()];
    let counts = [
        group.servers,
        group.ready,
        group.slots,
        group.running,
        group.waiting,
    ];
    row.extend(counts.iter().map(u32::to_string));
    row.extend([pace, rate, group.unanswered.to_string()]);
    row
}

fn server_table(servers: &[LocatedLoad]) -> Table {
    let head = [
        "server",
        "daemon",
        "domain",
        "state",
        "slots",
        "running",
        "waiting",
        "pace",
        "rate_per_s",
    ];
    let mut table = table(&head, 4);
    for LocatedLoad {
        daemon,
        failure_domain,
        load,
    } in servers
    {
        table.add_row([
            load.server.clone(),
            daemon.clone(),
            failure_domain.clone(),
            state(load.state).to_owned(),
            load.slots.to_string(),
            load.running.to_string(),
            load.waiting.to_string(),
            format!("{}%", load.pace_percent),
            load.rate_limit_milli.map_or("-".to_owned(), per_s),
        ]);
    }
    table
}

fn state(state: ServerState) -> &'static str {
    match state {
        ServerState::Ready => "ready",
        ServerState::Leaving => "leaving",
        ServerState::OnTrial => "on trial",
        ServerState::Drained => "drained",
    }
}

fn workspace_row(name: &str, load: &WorkspaceLoad) -> [String; 5] {
    [
        name.to_owned(),
        per_s(load.rate_milli),
        load.burst_requests.to_string(),
        format!("{:.1}%", f64::from(load.share_ppm) / 10_000.0),
        per_s(load.demand_milli),
    ]
}

fn per_s(milli: u64) -> String {
    format!("{:.1}", milli as f64 / 1_000.0)
}

fn others(count: u32) -> String {
    format!("{count} others")
}

/// The line of those that did not answer; `None` if all did.
fn missing(kind: &str, missing: &MissingDaemons) -> Option<String> {
    if missing.count == 0 {
        return None;
    }
    let names: Vec<&str> = missing.names.iter().map(String::as_str).collect();
    let shown = &names[..names.len().min(MAX_NAMES)];
    let more = match missing.count as usize - shown.len() {
        0 => String::new(),
        count => format!(" and {count} more"),
    };
    Some(format!(
        "missing {kind}: {}, figures not included: {}{more}",
        missing.count,
        shown.join(", ")
    ))
}
