//! The cases.

use crate::fleet::{self, wait_for, Fleet, Node};
use crate::http::{call, call_on, Response};
use crate::proxy::Proxy;
use crate::record::{now_ms, Record};
use crate::Verdict;
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Port of a backend server on its instance, as in `app_addr` of the settings.
const APP_PORT: u16 = 8628;
/// Lease of a server, in milliseconds, as in the example of docs/INTERFACES.md.
const LEASE_MS: u64 = 3_000;
/// A longer lease; docs/INTERFACES.md permits 500 to 60,000.
const LONG_LEASE_MS: u64 = 10_000;
/// `addr_reuse_s` of the pages, and a little more.
const ADDRESS_REUSE: Duration = Duration::from_millis(2_100);

pub fn run(case: &str, record: &Record, has_trouble: bool) -> Verdict {
    match case {
        "reused-address" => reused_address(record, has_trouble),
        "frozen-gateway" => frozen_gateway(record, has_trouble),
        "late-copy" => late_copy(record, has_trouble),
        "reused-instance" => reused_instance(record, has_trouble),
        "refused-order" => refused_order(record, has_trouble),
        "two-operators" => two_operators(record, has_trouble),
        _ => Verdict::NotRun(format!("no case {case}")),
    }
}

/// A UUIDv7.
fn new_key() -> String {
    let mut random = [0u8; 10];
    if let Ok(mut file) = std::fs::File::open("/dev/urandom") {
        let _ = file.read_exact(&mut random);
    }
    let ms = now_ms();
    let hex = |bytes: &[u8]| bytes.iter().map(|b| format!("{b:02x}")).collect::<String>();
    random[0] = 0x70 | (random[0] & 0x0f);
    random[2] = 0x80 | (random[2] & 0x3f);
    let time = format!("{ms:012x}");
    format!(
        "{}-{}-{}-{}-{}",
        &time[..8],
        &time[8..],
        hex(&random[..2]),
        hex(&random[2..4]),
        hex(&random[4..])
    )
}

fn shown(answer: &Option<Response>) -> String {
    match answer {
        None => "no answer".to_owned(),
        Some(response) => format!(
            "{} outcome={} {}",
            response.status,
            response.header("foxtailgauge-outcome").unwrap_or("-"),
            response.body
        ),
    }
}

/// Sends one billable action with a key.
fn act(gateway: SocketAddr, path: &str, key: &str, timeout: Duration) -> Option<Response> {
    let headers = [("Idempotency-Key", key)];
    call(
        gateway,
        &format!("POST {path}"),
        &headers,
        "{\"count\":1}",
        timeout,
    )
}

fn is_ok(answer: &Option<Response>) -> bool {
    answer
        .as_ref()
        .is_some_and(|response| response.status == 200)
}

fn copy_journal(fleet: &Fleet) {
    for (at, server, text) in fleet.journal_lines() {
        if !text.starts_with("announced") {
            fleet.record.line_at(at, &server, &text);
        }
    }
}

struct ServerPlace<'a> {
    name: &'a str,
    service: &'a str,
    node: &'a Node,
    port: u16,
    slots: u32,
    work_ms: u64,
    lease_ms: u64,
    copy_every: u64,
}

impl ServerPlace<'_> {
    fn start(&self, fleet: &Fleet) -> u32 {
        let text = format!(
            "server of {} starts at {}:{}",
            self.service, self.node.ip, self.port
        );
        fleet.record.line(self.name, &text);
        fleet.start_server(&[
            ("name", self.name),
            ("service", self.service),
            ("addr", &self.node.at(self.port).to_string()),
            ("announce", &self.node.announce().to_string()),
            ("slots", &self.slots.to_string()),
            ("work-ms", &self.work_ms.to_string()),
            ("lease-ms", &self.lease_ms.to_string()),
            ("copy-every", &self.copy_every.to_string()),
        ])
    }
}

/// Services of the deployment, with the number of their servers, as in Rybar's sheet. Servers and
/// sidecars have the same order, and each sidecar is in the failure domain of its number modulo 3.
const SERVICES: [(&str, usize); 3] = [("layoutdesk", 3), ("fitterdesk", 3), ("planviewer", 4)];
const SIDECARS: usize = 10;
const ROUTES: &str = "[services/layoutdesk]\n[services/fitterdesk]\n[services/planviewer]\n\
    [routes/commit]\nprefix = /commit\nmethods = POST\nservice = layoutdesk\ndeadline_ms = 2000\nbillable = true\n\
    [routes/book]\nprefix = /book\nmethods = POST\nservice = fitterdesk\ndeadline_ms = 2000\nbillable = true\n\
    [routes/plans]\nprefix = /plans\nmethods = GET\nservice = planviewer\ndeadline_ms = 2000\n";

/// Starts a deployment with a server beside each sidecar. Returns the process ids of the servers.
/// `name` makes the name of a server from its service and number.
fn start_deployment(
    record: &Record,
    lease_ms: u64,
    name: impl Fn(&str, usize) -> String,
) -> Result<(Fleet, Vec<u32>), Verdict> {
    let fleet = Fleet::start(record, SIDECARS);
    if !fleet.configure(ROUTES) {
        return Err(Verdict::NotRun(
            "the configuration was not accepted".to_owned(),
        ));
    }
    let services = SERVICES
        .iter()
        .flat_map(|(service, count)| vec![*service; *count]);
    let mut pids = Vec::new();
    for (number, service) in services.enumerate() {
        let place = ServerPlace {
            name: &name(service, number),
            service: &format!("desk/{service}"),
            node: &fleet.sidecars[number],
            port: APP_PORT,
            slots: 14,
            work_ms: 10,
            lease_ms,
            copy_every: 0,
        };
        pids.push(place.start(&fleet));
    }
    for gateway in &fleet.sidecars {
        let commits = || {
            is_ok(&act(
                gateway.callers(),
                "/commit/0",
                &new_key(),
                Duration::from_secs(2),
            ))
        };
        if !wait_for(Duration::from_secs(20), commits) {
            return Err(Verdict::NotRun(
                "no commit was served before the disruption".to_owned(),
            ));
        }
    }
    Ok((fleet, pids))
}

/// Sends commits for a time, one after the other; returns how many were answered by a server of another
/// service.
fn send_commits(fleet: &Fleet, gateway: &Node, prefix: &str, time: Duration) -> usize {
    let end = Instant::now() + time;
    let mut foreign = 0;
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let path = format!("/commit/{prefix}-{number}");
        let answer = act(gateway.callers(), &path, &new_key(), Duration::from_secs(3));
        fleet
            .record
            .line("caller", &format!("POST {path}: {}", shown(&answer)));
        let body = answer
            .as_ref()
            .map_or("", |response| response.body.as_str());
        foreign += usize::from(body.contains("\"service\":\"desk/fitterdesk\""));
        std::thread::sleep(Duration::from_millis(50));
    }
    foreign
}

fn judge_services(fleet: &Fleet, foreign: usize) -> Verdict {
    copy_journal(fleet);
    let lines = fleet.journal_lines();
    let is_foreign_run = |text: &str| text.starts_with("run service=desk/fitterdesk POST /commit");
    let runs = lines
        .iter()
        .filter(|(_, _, text)| is_foreign_run(text))
        .count();
    match (runs, foreign) {
        (0, 0) => Verdict::Held,
        _ => Verdict::Broken(format!(
            "{runs} commits were run by a server of fitterdesk, {foreign} of them answered as a success"
        )),
    }
}

/// A server crashes, and its address goes to a server of another service.
fn reused_address(record: &Record, has_trouble: bool) -> Verdict {
    let name = |service: &str, number: usize| format!("{service}-{number}");
    let (fleet, pids) = match start_deployment(record, LONG_LEASE_MS, name) {
        Ok(started) => started,
        Err(verdict) => return verdict,
    };
    // The gateway is in the failure domain of the server that crashes.
    let (home, gateway) = (&fleet.sidecars[0], &fleet.sidecars[3]);
    let mut foreign = send_commits(&fleet, gateway, "before", Duration::from_secs(2));
    let port = match has_trouble {
        true => {
            fleet::kill(pids[0]);
            record.line("layoutdesk-0", "killed");
            foreign += send_commits(&fleet, gateway, "gone", ADDRESS_REUSE);
            APP_PORT
        }
        false => APP_PORT + 1,
    };
    let successor = ServerPlace {
        name: "fitterdesk-10",
        service: "desk/fitterdesk",
        node: home,
        port,
        slots: 14,
        work_ms: 10,
        lease_ms: LEASE_MS,
        copy_every: 0,
    };
    successor.start(&fleet);
    foreign += send_commits(&fleet, gateway, "after", Duration::from_secs(9));
    judge_services(&fleet, foreign)
}

/// An instance is lost for good, and its address goes to a new instance with another service.
fn reused_instance(record: &Record, has_trouble: bool) -> Verdict {
    let (fleet, pids) = match start_deployment(record, LEASE_MS, |_, _| "server".to_owned()) {
        Ok(started) => started,
        Err(verdict) => return verdict,
    };
    let (lost, gateway) = (&fleet.sidecars[0], &fleet.sidecars[3]);
    let mut foreign = send_commits(&fleet, gateway, "before", Duration::from_secs(2));
    if has_trouble {
        fleet::kill(lost.pid);
        fleet::kill(pids[0]);
        record.line(&lost.name, "instance lost: daemon and server killed");
        foreign += send_commits(&fleet, gateway, "gone", ADDRESS_REUSE);
        let new = fleet.start_node("deploy/sidecar.ini", "sidecar-10", &lost.ip, 0);
        let successor = ServerPlace {
            name: "server",
            service: "desk/fitterdesk",
            node: &new,
            port: APP_PORT,
            slots: 14,
            work_ms: 10,
            lease_ms: LEASE_MS,
            copy_every: 0,
        };
        successor.start(&fleet);
    }
    foreign += send_commits(&fleet, gateway, "after", Duration::from_secs(7));
    judge_services(&fleet, foreign)
}

/// A gateway stands still while an action of its caller waits at another daemon; the caller sends the key
/// to another gateway and is told that it did not run.
fn frozen_gateway(record: &Record, has_trouble: bool) -> Verdict {
    const TEXT: &str = "[services/orders]\nqueue_requests = 1\n[routes/orders]\nprefix = /orders\n\
        methods = POST\nservice = orders\ndeadline_ms = 10000\nbillable = true\n";
    const FREEZE: Duration = Duration::from_millis(3_500);
    let fleet = Fleet::start(record, SIDECARS);
    let (home, first, second) = (&fleet.sidecars[0], &fleet.sidecars[1], &fleet.sidecars[2]);
    if !fleet.configure(TEXT) {
        return Verdict::NotRun("the configuration was not accepted".to_owned());
    }
    let orders = ServerPlace {
        name: "orders-1",
        service: "desk/orders",
        node: home,
        port: APP_PORT,
        slots: 1,
        work_ms: 3_000,
        lease_ms: LEASE_MS,
        copy_every: 0,
    };
    orders.start(&fleet);
    for gateway in [first, second] {
        let serves = || {
            is_ok(&act(
                gateway.callers(),
                "/orders/0",
                &new_key(),
                Duration::from_secs(5),
            ))
        };
        if !wait_for(Duration::from_secs(20), serves) {
            return Verdict::NotRun("no order was served before the disruption".to_owned());
        }
    }
    let (long, key) = (new_key(), new_key());
    let long_gateway = second.callers();
    let long_run =
        std::thread::spawn(move || act(long_gateway, "/orders/1", &long, Duration::from_secs(9)));
    std::thread::sleep(Duration::from_millis(300));
    let (first_gateway, first_key) = (first.callers(), key.clone());
    record.line(
        "caller",
        &format!("POST /orders/2 key={key} to {}", first.name),
    );
    // The caller waits for a second for a response, and then goes to another daemon.
    let first_try = std::thread::spawn(move || {
        act(
            first_gateway,
            "/orders/2",
            &first_key,
            Duration::from_millis(1_200),
        )
    });
    std::thread::sleep(Duration::from_millis(200));
    let frozen_at = Instant::now();
    if has_trouble {
        fleet::signal(first.pid, "STOP");
        record.line(&first.name, "stands still");
    }
    let answer = first_try.join().expect("first try");
    record.line(
        "caller",
        &format!("first try, connection closed: {}", shown(&answer)),
    );
    let answer = act(second.callers(), "/orders/2", &key, Duration::from_secs(9));
    record.line(
        "caller",
        &format!("second try, to {}: {}", second.name, shown(&answer)),
    );
    let is_promised = answer.as_ref().is_some_and(|response| {
        matches!(response.status, 429 | 503)
            && response.header("foxtailgauge-outcome") == Some("not-run")
    });
    std::thread::sleep(FREEZE.saturating_sub(frozen_at.elapsed()));
    if has_trouble {
        fleet::signal(first.pid, "CONT");
        record.line(&first.name, "goes on");
    }
    let answer = long_run.join().expect("long run");
    record.line("caller", &format!("POST /orders/1: {}", shown(&answer)));
    std::thread::sleep(Duration::from_secs(6));
    copy_journal(&fleet);
    let lines = fleet.journal_lines();
    let is_run = |text: &str| text.starts_with("run ") && text.contains(&format!("key={key}"));
    let runs = lines.iter().filter(|(_, _, text)| is_run(text)).count();
    match (is_promised, runs) {
        (true, 1..) => Verdict::Broken(format!(
            "the action was refused with 503 not-run and ran {runs} time(s)"
        )),
        (false, 2..) => Verdict::Broken(format!("the action ran {runs} times")),
        _ => Verdict::Held,
    }
}

/// A server writes an earlier answer once more where the next one is due.
fn late_copy(record: &Record, has_trouble: bool) -> Verdict {
    const TEXT: &str = "[services/viewer]\n[routes/plans]\nprefix = /plans\nmethods = GET\n\
        service = viewer\ndeadline_ms = 2000\n";
    const CALLERS: u32 = 4;
    const LOOKUPS: u32 = 300;
    let fleet = Fleet::start(record, 3);
    let gateway = &fleet.sidecars[1];
    if !fleet.configure(TEXT) {
        return Verdict::NotRun("the configuration was not accepted".to_owned());
    }
    let viewer = ServerPlace {
        name: "viewer-1",
        service: "desk/viewer",
        node: &fleet.sidecars[0],
        port: APP_PORT,
        slots: 4,
        work_ms: 5,
        lease_ms: LEASE_MS,
        // 3 in 100 answers, as `garble` has it.
        copy_every: if has_trouble { 34 } else { 0 },
    };
    viewer.start(&fleet);
    // The other one of the two servers is sound.
    let sound = ServerPlace {
        name: "viewer-2",
        node: &fleet.sidecars[2],
        copy_every: 0,
        ..viewer
    };
    sound.start(&fleet);
    let addr = gateway.callers();
    let look = move |path: &str, id: &str| {
        let headers = [("Attempt-Id", id)];
        call(
            addr,
            &format!("GET {path}"),
            &headers,
            "",
            Duration::from_secs(3),
        )
    };
    let serves = || is_ok(&look("/plans/0", "0"));
    if !wait_for(Duration::from_secs(15), serves) {
        return Verdict::NotRun("no lookup was served before the disruption".to_owned());
    }
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let record = record.clone();
            std::thread::spawn(move || {
                let mut wrong = 0;
                for number in 0..LOOKUPS {
                    let (path, id) = (
                        format!("/plans/{caller}-{number}"),
                        format!("{caller}{number:07x}"),
                    );
                    let answer = look(&path, &id);
                    let Some(response) = answer.as_ref().filter(|response| response.status == 200)
                    else {
                        record.line("caller", &format!("GET {path} id={id}: {}", shown(&answer)));
                        continue;
                    };
                    if !response.body.contains(&format!("\"path\":\"{path}\"")) {
                        wrong += 1;
                        let echoed = response.header("attempt-id").unwrap_or("-");
                        let text = format!("GET {path} id={id}: WRONG, answer has id {echoed}: ");
                        record.line("caller", &(text + &shown(&answer)));
                    }
                }
                wrong
            })
        })
        .collect();
    let wrong: u32 = callers
        .into_iter()
        .map(|caller| caller.join().unwrap_or(0))
        .sum();
    copy_journal(&fleet);
    match wrong {
        0 => Verdict::Held,
        _ => Verdict::Broken(format!(
            "{wrong} of {} lookups got a success with the answer to another request",
            CALLERS * LOOKUPS
        )),
    }
}

/// Two operators change the configuration of one team on top of the same version, one of them by a
/// document, the other by the team's text.
fn two_operators(record: &Record, has_trouble: bool) -> Verdict {
    const TEXT: &str = "[services/viewer]\\n[routes/plans]\\nprefix = /plans\\nmethods = GET\\n\
        service = viewer\\ndeadline_ms = 2000\\n[host-routes/r1]\\nhost = plans.example\\n\
        prefix = /plans/\\nsplit = viewer:1\\ntimeout_ms = 1000\\nattempts = 2\\n";
    const JSON: (&str, &str) = ("Content-Type", "application/json");
    let document = |version: &str, timeout_ms: u32| {
        format!(
            "{{\"version\":\"{version}\",\"listeners\":[{{\"host\":\"plans.example\",\"rule_set\":[\
             {{\"name\":\"r1\",\"route_type\":\"safe\",\"target_latency_ms\":200,\"priority\":1,\
             \"match\":{{\"path_prefix\":\"/plans/\"}},\"action\":{{\"service\":\"viewer\",\
             \"timeout_ms\":{timeout_ms},\"max_attempts\":2}}}}]}}],\
             \"clusters\":[{{\"name\":\"viewer\",\"health_check_path\":\"/health\",\"max_connections\":110}}]}}"
        )
    };
    let fleet = Fleet::start(record, 2);
    let platform = fleet.replicas[0].at(8620);
    let admin = fleet.replicas[1].admin();
    let put_document = |base: &str, version: &str, timeout_ms: u32| {
        let headers = [("If-Match", base), JSON];
        let body = document(version, timeout_ms);
        let answer = call(
            platform,
            "PUT /foxtailgauge/config",
            &headers,
            &body,
            Duration::from_secs(4),
        );
        record.line(
            "operator 1",
            &format!("document {version} on {base}: {}", shown(&answer)),
        );
        is_ok(&answer)
    };
    if !wait_for(Duration::from_secs(20), || {
        put_document("0", "00000001", 1000)
    }) {
        return Verdict::NotRun("the first document was not accepted".to_owned());
    }
    let body = format!(
        "{{\"change_id\":\"text-1\",\"base_revision\":1,\"text\":\"{TEXT}\",\"author\":\"operator 2\"}}"
    );
    let start = "PUT /v1/teams/mesh/config";
    let answer = call(admin, start, &[JSON], &body, Duration::from_secs(10));
    record.line(
        "operator 2",
        &format!("text on revision 1: {}", shown(&answer)),
    );
    let is_text_accepted = is_ok(&answer);
    let is_document_accepted = has_trouble && put_document("00000001", "00000002", 1500);
    std::thread::sleep(Duration::from_secs(4));
    let headers = [JSON];
    let now = call(
        admin,
        "GET /v1/teams/mesh/config",
        &headers,
        "",
        Duration::from_secs(4),
    );
    record.line("operator 2", &format!("reads the text: {}", shown(&now)));
    let gateway = fleet.sidecars[0].callers();
    let answer = call(gateway, "GET /plans/1", &[], "", Duration::from_secs(3));
    record.line(
        "caller",
        &format!(
            "GET /plans/1 on the route of operator 2: {}",
            shown(&answer)
        ),
    );
    let is_route_gone = answer.is_some_and(|response| response.status == 404);
    match (is_text_accepted, is_document_accepted, is_route_gone) {
        (true, true, true) => Verdict::Broken(
            "two changes on top of the same version were acknowledged, and one of them is gone"
                .to_owned(),
        ),
        (true, _, false) | (false, true, _) => Verdict::Held,
        (true, false, true) => Verdict::Broken("an acknowledged change is not in force".to_owned()),
        (false, false, _) => Verdict::NotRun("no change was accepted".to_owned()),
    }
}

/// A machine of the core is suspended with two orders on their way to it. The operator sends both again to
/// others; the one that arrives before its base is refused, and is in force later.
fn refused_order(record: &Record, has_trouble: bool) -> Verdict {
    const JSON: (&str, &str) = ("Content-Type", "application/json");
    /// Time without a response after which the operator moves on.
    const MOVE_ON: Duration = Duration::from_secs(1);
    const SUSPENSION: Duration = Duration::from_secs(3);
    let document = |version: u32| {
        format!(
            "{{\"version\":\"{version:08x}\",\"listeners\":[{{\"host\":\"plans.example\",\"rule_set\":[\
             {{\"name\":\"r1\",\"route_type\":\"safe\",\"target_latency_ms\":200,\"priority\":1,\
             \"match\":{{\"path_prefix\":\"/plans-{version}/\"}},\"action\":{{\"service\":\"viewer\",\
             \"timeout_ms\":1000,\"max_attempts\":2}}}}]}}],\
             \"clusters\":[{{\"name\":\"viewer\",\"health_check_path\":\"/health\",\"max_connections\":110}}]}}"
        )
    };
    let put_on = move |record: &Record,
                       name: &str,
                       stream: Option<TcpStream>,
                       version: u32,
                       timeout: Duration| {
        let base = format!("{:08x}", version - 1);
        let headers = [("If-Match", base.as_str()), JSON];
        record.line("operator", &format!("sends {version} on {base} to {name}"));
        let start = "PUT /foxtailgauge/config";
        let body = document(version);
        let answer = stream.and_then(|stream| call_on(stream, start, &headers, &body, timeout));
        record.line(
            "operator",
            &format!("{version} at {name}: {}", shown(&answer)),
        );
        answer
    };
    let put =
        move |record: &Record, name: &str, addr: SocketAddr, version: u32, timeout: Duration| {
            let stream = TcpStream::connect_timeout(&addr, timeout).ok();
            put_on(record, name, stream, version, timeout)
        };
    let fleet = Fleet::start(record, 1);
    let addr = |node: &Node| node.at(8620);
    for node in &fleet.replicas {
        let is_accepted = || {
            is_ok(&put(
                record,
                &node.name,
                addr(node),
                1,
                Duration::from_secs(3),
            ))
        };
        if !wait_for(Duration::from_secs(20), is_accepted) {
            return Verdict::NotRun("the first configuration was not accepted".to_owned());
        }
    }
    // The leader answers; the machine that is suspended is another one.
    let status = call(
        fleet.replicas[0].admin(),
        "GET /v1/status",
        &[],
        "",
        Duration::from_secs(3),
    );
    let status = status.map_or(String::new(), |response| response.body);
    let leads = |node: &&Node| status.contains(&format!("\"answered_by\":\"{}\"", node.name));
    let (leading, others): (Vec<&Node>, Vec<&Node>) = fleet.replicas.iter().partition(leads);
    let ([leader], [suspended, other]) = (leading.as_slice(), others.as_slice()) else {
        return Verdict::NotRun("the leader is not known".to_owned());
    };
    record.line(
        "case",
        &format!("{} leads, {} is suspended", leader.name, suspended.name),
    );
    let Ok(proxy) = Proxy::start(suspended.at(8621), addr(suspended)) else {
        return Verdict::NotRun("no port for the proxy".to_owned());
    };
    // Opened before the suspension: a suspended machine accepts no connection.
    let open = || TcpStream::connect_timeout(&proxy.addr, MOVE_ON).ok();
    let (stream_2, stream_3) = (open(), open());
    std::thread::sleep(Duration::from_millis(100));
    let suspended_at = Instant::now();
    if has_trouble {
        proxy.suspend(true);
        fleet::signal(suspended.pid, "STOP");
        record.line(&suspended.name, "suspended");
    }
    // Two orders in progress at once, the second on top of the first. Each is sent again elsewhere after a
    // second without a response and a random backoff.
    let send = |version: u32, stream: Option<TcpStream>, next: &Node, backoff: Duration| {
        let (record, next, first) = (record.clone(), next.clone(), suspended.name.clone());
        std::thread::spawn(
            move || match put_on(&record, &first, stream, version, MOVE_ON) {
                Some(answer) => Some(answer),
                None => {
                    std::thread::sleep(backoff);
                    put(
                        &record,
                        &next.name,
                        next.at(8620),
                        version,
                        Duration::from_secs(4),
                    )
                }
            },
        )
    };
    let second = send(2, stream_2, other, Duration::from_millis(250));
    std::thread::sleep(Duration::from_millis(60));
    let third = send(3, stream_3, leader, Duration::from_millis(40));
    let (second, third) = (second.join().unwrap_or(None), third.join().unwrap_or(None));
    std::thread::sleep(SUSPENSION.saturating_sub(suspended_at.elapsed()));
    if has_trouble {
        fleet::signal(suspended.pid, "CONT");
        proxy.suspend(false);
        record.line(&suspended.name, "goes on");
    }
    std::thread::sleep(Duration::from_secs(5));
    let mut read = Vec::new();
    for node in &fleet.replicas {
        let now = call(
            addr(node),
            "GET /foxtailgauge/config",
            &[],
            "",
            Duration::from_secs(3),
        );
        record.line(
            "operator",
            &format!("reads at {}: {}", node.name, shown(&now)),
        );
        read.push(now.map_or(String::new(), |response| response.body));
    }
    let is_refused = third.is_some_and(|response| response.status == 412);
    let is_in_force = read
        .iter()
        .any(|body| body.contains("\"version\":\"00000003\""));
    match (is_refused, is_in_force, is_ok(&second)) {
        (true, true, _) => {
            Verdict::Broken("version 3 was refused with 412 and is in force".to_owned())
        }
        (_, _, true) => Verdict::Held,
        _ => Verdict::NotRun("version 2 was not accepted".to_owned()),
    }
}
