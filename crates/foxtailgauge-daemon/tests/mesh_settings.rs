//! Settings filled in by a platform: listen addresses from a range of ports, seeds and the mesh
//! section.

use foxtailgauge_core::RetryLimits;
use foxtailgauge_daemon::{load_settings, Formation, Settings, SettingsError};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;

const VALID: &str = "[instance]
name = d1
failure_domain = z1
[listen]
address = 10.0.0.7
ports = 7600,7615
[replicas]
seeds = 10.0.0.5:8620, 10.0.1.5:8620,10.0.0.5:8620
may_form = false
[store]
dir =
[cluster]
key_file = KEY
[mesh]
workspace = mesh
outbound = 10.0.0.7:8629
platform = 10.0.0.7:8620
service =
report_interval_ms = 1500
";

fn load(text: &str) -> Result<Settings, SettingsError> {
    let dir = tempfile::tempdir().expect("temporary directory");
    let key = dir.path().join("key");
    std::fs::write(&key, "a key of more than sixteen bytes").expect("key file written");
    let file = dir.path().join("d.ini");
    let text = text.replace("KEY", &key.display().to_string());
    std::fs::write(&file, text).expect("settings file written");
    load_settings(&file)
}

#[test]
fn addresses_come_from_the_configured_ports_and_seeds_use_the_local_control_port() {
    let settings = load(VALID).unwrap_or_else(|error| panic!("{error}"));
    assert_eq!(settings.listen.control.to_string(), "10.0.0.7:7600");
    assert_eq!(settings.listen.calls.to_string(), "10.0.0.7:7601");
    assert_eq!(settings.listen.admin.to_string(), "127.0.0.1:7603");
    assert_eq!(settings.seeds, ["10.0.0.5:7600", "10.0.1.5:7600"]);
    assert_eq!(settings.formation, Formation::JoinOnly);
    assert!(
        settings.store_dir.is_none(),
        "empty value is treated as unset"
    );
    let mesh = settings.mesh.expect("mesh section");
    assert_eq!(mesh.outbound.map(|addr| addr.port()), Some(8629));
    assert!(mesh.service.is_none() && mesh.ready.is_none());
}

#[test]
fn each_problem_is_reported_with_its_key() {
    // Text replaced, its replacement, and the key of the reported problem.
    let cases = [
        ("ports = 7600,7615", "ports = 7600,7603", "ports"),
        ("ports = 7600,7615", "ports = 7615,7600", "ports"),
        ("ports = 7600,7615", "ports = many", "ports"),
        ("address = 10.0.0.7", "address = here", "address"),
        ("10.0.0.5:8620, ", "ten, ", "seeds"),
        ("may_form = false", "may_form = perhaps", "may_form"),
        (
            "outbound = 10.0.0.7:8629",
            "outbound = 10.0.0.7",
            "outbound",
        ),
        ("service =", "service = a b", "service"),
        ("workspace = mesh", "workspace = A/B", "workspace"),
        (
            "report_interval_ms = 1500",
            "report_interval_ms = soon",
            "report_interval_ms",
        ),
        (
            "report_interval_ms = 1500",
            "report_every_ms = 1500",
            "report_every_ms",
        ),
        ("service =", "bounds = budget_slack=many", "bounds"),
        ("service =", "bounds = budget_slack=1", "bounds"),
        ("service =", "bounds = grace_s=soon", "bounds"),
        ("service =", "bounds = {\"grace_s\":\"soon\"}", "bounds"),
        ("service =", "bounds = {\"grace_s\":6", "bounds"),
        ("service =", "bounds = soon", "bounds"),
        ("service =", "stop_grace_ms = 499", "stop_grace_ms"),
        (
            "[mesh]",
            "[limits]\nretry_budget_percent = 101\nretry_budget_slack = 1\n[mesh]",
            "retry_budget_percent",
        ),
        (
            "[mesh]",
            "[limits]\nretry_budget_percent = 1\nretry_budget_slack = 1000001\n[mesh]",
            "retry_budget_slack",
        ),
        (
            "[mesh]",
            "[limits]\nretry_budget_percent = 20\n[mesh]",
            "retry_budget_slack",
        ),
        (
            "[mesh]",
            "[limits]\nretry_budget_slack = 20\n[mesh]",
            "retry_budget_percent",
        ),
    ];
    for (from, to, key) in cases {
        let text = VALID.replace(from, to);
        assert_ne!(text, VALID, "{from}");
        let error = load(&text).expect_err(to);
        let keys: Vec<&str> = error.problems.iter().map(|p| p.key.as_str()).collect();
        assert_eq!(keys, [key], "{to}: {error}");
    }
}

/// Guards against a bound of the platform that is not applied, or applied where operators set another
/// one.
#[test]
fn bound_on_retries_comes_from_the_limits_or_the_platform() {
    let limits = |percent, slack_requests| {
        Some(RetryLimits {
            percent,
            slack_requests,
        })
    };
    let listed = "bounds = exact=true,retry_budget_ratio=0.2,budget_window_s=10,budget_slack=220";
    let set = "[limits]\nretry_budget_percent = 2.5\nretry_budget_slack = 0\n[mesh]";
    // Replacements of two lines, and the expected bound.
    let cases = [
        ("[mesh]", "service =", None),
        ("[mesh]", "bounds =", None),
        ("[mesh]", "bounds = exact=true,budget_window_s=10", None),
        ("[mesh]", listed, limits(20.0, 220.0)),
        (set, "service =", limits(2.5, 0.0)),
        (set, listed, limits(2.5, 0.0)),
    ];
    for (section, line, expected) in cases {
        let text = VALID.replace("[mesh]", section).replace("service =", line);
        let settings = load(&text).unwrap_or_else(|error| panic!("{error}"));
        assert_eq!(settings.limits.retries, expected, "{section}, {line}");
    }
}

/// Guards against a stop that ends long before the platform kills the process, or is killed.
#[test]
fn grace_period_comes_from_the_settings_or_the_platform() {
    // Line of the section, and the expected grace period in milliseconds.
    let cases = [
        ("service =", 6_000),
        (
            "bounds = contact_ms=3000,grace_s=10,loss_slack_ms=200",
            10_000,
        ),
        ("bounds = grace_s=2.5\nstop_grace_ms =", 2_500),
        ("bounds = grace_s=10\nstop_grace_ms = 1500", 1_500),
        ("stop_grace_ms = 1500", 1_500),
    ];
    for (line, expected_ms) in cases {
        let settings = load(&VALID.replace("service =", line));
        let settings = settings.unwrap_or_else(|error| panic!("{error}"));
        let stop_grace = settings.mesh.expect("mesh section").stop_grace;
        assert_eq!(stop_grace.as_millis(), expected_ms, "{line}");
    }
}

/// Fills in a template like the platform does: a value of the fields, lists joined by commas, tables as
/// JSON, nothing if there is no value.
fn render(template: &str, fields: &Value) -> String {
    let mut parts = template.split("{{");
    let mut text = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let (path, rest) = part.split_once("}}").expect("an end of the placeholder");
        let pointer = format!("/{}", path.replace('.', "/"));
        text += &match fields.pointer(&pointer) {
            None | Some(Value::Null) => String::new(),
            Some(Value::String(value)) => value.clone(),
            Some(Value::Array(list)) => {
                let texts = list.iter().map(|item| match item {
                    Value::String(text) => text.clone(),
                    other => other.to_string(),
                });
                texts.collect::<Vec<_>>().join(",")
            }
            Some(other) => other.to_string(),
        };
        text += rest;
    }
    text
}

/// Fields of a process as the platform states them.
fn fields(grace_s: u64, slack: u64) -> Value {
    json!({
        "node": "sidecar-a-1", "zone": "a", "ip": "10.1.0.41", "port_range": [7600, 7615],
        "seed_nodes": ["10.1.0.45:8620", "10.2.0.28:8620", "10.3.0.12:8620"],
        "first_start": true, "heartbeat_ms": 1700, "service": "desk",
        "listen": {"outbound": "10.1.0.41:8629", "ready": "10.1.0.41:8625",
            "control_plane": "10.1.0.41:8620"},
        "limits": {"link_mbps": 170.0},
        "bounds": {"seed_lag_s": 3, "contact_ms": 3000, "grace_s": grace_s,
            "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": slack},
    })
}

/// Guards against a value that the platform states and that is dropped without a word: the bounds come
/// as a table, which was taken for a list without known names, so that no deployment had its grace
/// period and its limits of retries.
#[test]
fn every_value_that_the_templates_pass_is_in_force() {
    let dir = tempfile::tempdir().expect("temporary directory");
    let templates = [
        ("sidecar", include_str!("../../../deploy/sidecar.ini")),
        ("replica", include_str!("../../../deploy/replica.ini")),
    ];
    for (role, template) in templates {
        for (grace_s, slack) in [(6, 56), (10, 420), (4, 220)] {
            let mut fields = fields(grace_s, slack);
            if role == "replica" {
                fields["data_dir"] = dir.path().join("store").display().to_string().into();
                fields["service"] = Value::Null;
            }
            let text = render(template, &fields).replace("deploy/cluster.key", "KEY");
            let settings = load(&text).unwrap_or_else(|error| panic!("{role}: {error}"));
            let mesh = settings.mesh.expect("mesh section");
            assert_eq!(mesh.stop_grace, Duration::from_secs(grace_s), "{role}");
            let limits = RetryLimits {
                percent: 20.0,
                slack_requests: slack as f64,
            };
            assert_eq!(settings.limits.retries, Some(limits), "{role}");
            assert_eq!(mesh.unstated, [], "{role}");
            assert_eq!(settings.name, "sidecar-a-1");
            assert_eq!(settings.failure_domain, "a");
            assert_eq!(settings.listen.control.to_string(), "10.1.0.41:7600");
            assert_eq!(settings.seeds.len(), 3);
            assert_eq!(mesh.report_interval, Duration::from_millis(1_700));
            let addr = |addr: Option<SocketAddr>| addr.map(|addr| addr.to_string());
            let platform = Some("10.1.0.41:8620".to_owned());
            assert_eq!(addr(mesh.platform), platform, "{role}");
            let metrics = Some("10.1.0.41:9464".to_owned());
            assert_eq!(addr(mesh.metrics), metrics, "{role}");
            if role == "sidecar" {
                assert_eq!(settings.formation, Formation::JoinOnly);
                assert_eq!(settings.limits.link_bytes_per_s, Some(170e6 / 8.0));
                assert_eq!(addr(mesh.outbound), Some("10.1.0.41:8629".to_owned()));
                assert_eq!(addr(mesh.ready), Some("10.1.0.41:8625".to_owned()));
                assert_eq!(mesh.service.as_deref(), Some("desk"));
            } else {
                assert_eq!(settings.formation, Formation::Seeds);
                assert!(settings.store_dir.is_some());
            }
        }
    }
}

/// Guards against a bound that is missing without a word.
#[test]
fn bounds_that_nobody_states_are_listed_with_what_is_used() {
    let settings = load(VALID).unwrap_or_else(|error| panic!("{error}"));
    let unstated = settings.mesh.expect("mesh section").unstated;
    let used: Vec<_> = unstated.iter().map(|b| (b.key, b.used.as_str())).collect();
    let expected = [
        ("stop_grace_ms", "6000"),
        ("retry_budget_percent", "retry_percent of each service"),
    ];
    assert_eq!(used, expected);
}

/// Guards against a template that does not pass the platform's list to the settings, or overrides the
/// grace period that it states.
#[test]
fn templates_pass_the_bounds() {
    let templates = [
        include_str!("../../../deploy/sidecar.ini"),
        include_str!("../../../deploy/replica.ini"),
    ];
    for template in templates {
        let mesh = template.split("[mesh]").nth(1).unwrap_or_default();
        assert!(mesh.contains("\nbounds = {{bounds}}\n"), "{template}");
        assert!(!mesh.contains("stop_grace_ms"), "{template}");
    }
}
