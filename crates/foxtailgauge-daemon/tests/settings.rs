//! Settings: all problems are reported at once, each with file, section and key.

use foxtailgauge_daemon::load_settings;
use std::path::PathBuf;
use std::process::Command;

struct TestDir(tempfile::TempDir);

impl TestDir {
    fn new() -> Self {
        let dir = tempfile::tempdir().unwrap();
        std::fs::write(dir.path().join("key"), "0123456789abcdef").unwrap();
        std::fs::write(dir.path().join("short"), "0123").unwrap();
        std::fs::write(dir.path().join("file"), "").unwrap();
        std::fs::write(
            dir.path().join("tokens"),
            format!("[tokens]\nrybar = {}\n", "ab".repeat(32)),
        )
        .unwrap();
        std::fs::write(dir.path().join("bad-tokens"), "[tokens]\nrybar = secret\n").unwrap();
        TestDir(dir)
    }

    fn path(&self, name: &str) -> String {
        self.0.path().join(name).display().to_string()
    }

    fn valid(&self) -> String {
        format!(
            "[instance]\nname = one\nfailure_domain = a\n\
             [listen]\ncallers = 127.0.0.1:1\nadmin = 127.0.0.1:2\nannounce = 127.0.0.1:3\n\
             control = 127.0.0.1:4\ncalls = 127.0.0.1:5\n\
             [replicas]\ncontrol = 127.0.0.1:4\n\
             [store]\ndir = {}\n[cluster]\nkey_file = {}\n\
             [admin]\ntoken_file = {}\n[distribution]\nbatch_ms = 50\n\
             [limits]\nbody_bytes = 1024\n[ledger]\nretention_hours = 48\n[log]\nlevel = info\n",
            self.path("data"),
            self.path("key"),
            self.path("tokens")
        )
    }

    fn write(&self, text: &str) -> PathBuf {
        let file = self.0.path().join("daemon.ini");
        std::fs::write(&file, text).unwrap();
        file
    }
}

#[test]
fn valid_settings_are_accepted() {
    let test_dir = TestDir::new();
    let settings = load_settings(&test_dir.write(&test_dir.valid())).unwrap();
    assert_eq!(settings.name, "one");
    assert_eq!(settings.advertise_control, "127.0.0.1:4");
    assert_eq!(settings.distribution.batch_interval.as_millis(), 50);
}

/// Guards against daemons that cannot be started while a disk is full: the replica waits for space.
#[test]
fn full_disk_is_no_fault_of_the_settings() {
    let test_dir = TestDir::new();
    std::fs::create_dir(test_dir.path("data")).unwrap();
    std::os::unix::fs::symlink("/dev/full", test_dir.path("data/.probe")).unwrap();
    load_settings(&test_dir.write(&test_dir.valid())).unwrap();
}

#[test]
fn each_problem_reports_section_and_key() {
    let test_dir = TestDir::new();
    let (data, file) = (test_dir.path("data"), test_dir.path("file"));
    let (key, short) = (test_dir.path("key"), test_dir.path("short"));
    let (tokens, bad_tokens) = (test_dir.path("tokens"), test_dir.path("bad-tokens"));
    let token_line = format!("[admin]\ntoken_file = {tokens}\n");
    // Text replaced, its replacement, and the section and key of a reported problem.
    let table: Vec<(&str, &str, &str, &str)> = vec![
        ("name = one", "name = One!", "instance", "name"),
        ("name = one\n", "", "instance", "name"),
        ("failure_domain = a\n", "", "instance", "failure_domain"),
        ("[log]", "[logs]\n[log]", "logs", ""),
        ("level = info", "level = loud", "log", "level"),
        (
            "level = info",
            "level = info\ncolour = red",
            "log",
            "colour",
        ),
        ("level = info", "level = info\nlevel = info", "log", "level"),
        (
            "batch_ms = 50",
            "batch_ms = 50 ms",
            "distribution",
            "batch_ms",
        ),
        (
            "batch_ms = 50",
            "batch_ms = 99999",
            "distribution",
            "batch_ms",
        ),
        ("batch_ms = 50", "batch_s = 1", "distribution", "batch_s"),
        (
            "body_bytes = 1024",
            "body_bytes = 1 MiB",
            "limits",
            "body_bytes",
        ),
        (
            "retention_hours = 48",
            "retention_hours = 0",
            "ledger",
            "retention_hours",
        ),
        (
            "callers = 127.0.0.1:1",
            "callers = localhost",
            "listen",
            "callers",
        ),
        ("callers = 127.0.0.1:1\n", "", "listen", "callers"),
        (
            "callers = 127.0.0.1:1",
            "callers = 127.0.0.1:2",
            "listen",
            "admin",
        ),
        (
            "[replicas]\ncontrol = 127.0.0.1:4",
            "[replicas]\ncontrol = 127.0.0.1:9",
            "replicas",
            "control",
        ),
        (
            "[replicas]\ncontrol = 127.0.0.1:4",
            "[replicas]",
            "replicas",
            "control",
        ),
        (&data, &file, "store", "dir"),
        (&key, &short, "cluster", "key_file"),
        (&key, "no-such-file", "cluster", "key_file"),
        (&tokens, &bad_tokens, "admin", "token_file"),
        (&tokens, "no-such-file", "admin", "token_file"),
    ];
    for (from, to, section, key) in table {
        let text = test_dir.valid().replacen(from, to, 1);
        assert_ne!(text, test_dir.valid(), "{from}");
        let error = load_settings(&test_dir.write(&text)).unwrap_err();
        let locations: Vec<(&str, &str)> = error
            .problems
            .iter()
            .map(|p| (p.section.as_str(), p.key.as_str()))
            .collect();
        assert!(locations.contains(&(section, key)), "{to}: {locations:?}");
    }
    let non_loopback = test_dir
        .valid()
        .replace("admin = 127.0.0.1:2", "admin = 0.0.0.0:2");
    assert!(
        load_settings(&test_dir.write(&non_loopback)).is_ok(),
        "admin address beyond loopback is allowed with a token file"
    );
    let error = load_settings(&test_dir.write(&non_loopback.replace(&token_line, ""))).unwrap_err();
    assert_eq!(
        error.problems[0].key, "token_file",
        "admin address beyond loopback requires a token file"
    );
    let loopback = test_dir.valid().replace(&token_line, "");
    assert!(load_settings(&test_dir.write(&loopback)).is_ok());
}

#[test]
fn daemon_reports_all_problems_at_once_and_exits_with_2() {
    let test_dir = TestDir::new();
    let text = test_dir
        .valid()
        .replace("name = one", "name = One!")
        .replace("batch_ms = 50", "batch_ms = soon")
        .replace("level = info", "volume = 11");
    let file = test_dir.write(&text);
    let run = |arguments: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_foxtailgauged"));
        command
            .arg("--settings")
            .arg(&file)
            .args(arguments)
            .output()
            .unwrap()
    };
    for arguments in [&["--check-settings"][..], &[]] {
        let output = run(arguments);
        assert_eq!(output.status.code(), Some(2));
        let text = String::from_utf8(output.stderr).unwrap();
        let text = text.replace(&test_dir.0.path().display().to_string(), "TEST_DIR");
        insta::assert_snapshot!("all_problems", text);
    }
    test_dir.write(&test_dir.valid());
    assert_eq!(run(&["--check-settings"]).status.code(), Some(0));
}
