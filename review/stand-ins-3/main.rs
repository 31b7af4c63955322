//! Cases of review 3: each starts a small deployment, causes one disruption and checks one rule.
//!
//! `cases CASE RECORD` exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
//! With `TROUBLE=0` in the environment the disruption is left out.

mod cases;
mod fleet;
mod http;
mod proxy;
mod record;
mod server;

use std::process::ExitCode;
use std::time::Duration;

/// A run ends at the latest after this time.
const MAX_RUN_TIME: Duration = Duration::from_secs(100);

/// What a case found.
pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.first().map(String::as_str) == Some("server") {
        return match server::run(server_arguments(&arguments[1..])) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("{error}");
                ExitCode::FAILURE
            }
        };
    }
    let [case, record] = arguments.as_slice() else {
        eprintln!("usage: cases CASE RECORD");
        return ExitCode::from(2);
    };
    std::thread::spawn(|| {
        std::thread::sleep(MAX_RUN_TIME);
        fleet::kill_all();
        std::process::exit(2);
    });
    let Ok(record) = record::Record::create(record) else {
        eprintln!("cannot write {record}");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.line("case", &format!("{case}, disruption: {has_trouble}"));
    let run = || cases::run(case, &record, has_trouble);
    let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run));
    fleet::kill_all();
    let (text, code) = match verdict {
        Ok(Verdict::Held) => ("rule held".to_owned(), 0),
        Ok(Verdict::Broken(text)) => (format!("RULE BROKEN: {text}"), 1),
        Ok(Verdict::NotRun(text)) => (format!("not run: {text}"), 2),
        Err(_) => ("not run: the case panicked".to_owned(), 2),
    };
    record.line("case", &text);
    println!("{case}: {text}");
    ExitCode::from(code)
}

fn server_arguments(arguments: &[String]) -> server::Arguments {
    let value = |name: &str| {
        let at = arguments.iter().position(|a| *a == format!("--{name}"));
        at.and_then(|at| arguments.get(at + 1)).cloned()
    };
    let text = |name: &str| value(name).unwrap_or_else(|| panic!("--{name} is missing"));
    let number = |name: &str| value(name).and_then(|text| text.parse().ok()).unwrap_or(0);
    server::Arguments {
        name: text("name"),
        service: text("service"),
        addr: text("addr").parse().expect("--addr"),
        announce: text("announce").parse().expect("--announce"),
        slots: u32::try_from(number("slots")).unwrap_or(1).max(1),
        work: Duration::from_millis(number("work-ms")),
        lease_ms: number("lease-ms").max(500),
        copy_every: number("copy-every"),
        journal: text("journal"),
    }
}
