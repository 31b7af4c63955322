//! Settings filled in by a platform: listen addresses from a range of ports, seeds and the mesh
//! section.

use foxtailgauge_daemon::{load_settings, Formation, Settings, SettingsError};

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
    assert_eq!(settings.replicas, ["10.0.0.5:7600", "10.0.1.5:7600"]);
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
    ];
    for (from, to, key) in cases {
        let text = VALID.replace(from, to);
        assert_ne!(text, VALID, "{from}");
        let error = load(&text).expect_err(to);
        let keys: Vec<&str> = error.problems.iter().map(|p| p.key.as_str()).collect();
        assert_eq!(keys, [key], "{to}: {error}");
    }
}
