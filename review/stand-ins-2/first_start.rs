//! Case: a machine of the core is lost for good while the whole system starts for the first time, and is
//! replaced by an empty one at another address.

mod harness;
use harness::*;
use std::path::Path;
use std::time::{Duration, Instant};

fn main() {
    let file = std::env::args().nth(1).expect("file of the record");
    let record = Record::new(Path::new(&file));
    let mut fleet = Fleet::new(&record);
    let machine = |fleet: &Fleet, class, name: &str, number: usize, service: &str| Machine {
        name: name.to_owned(),
        class,
        ip: fleet.ip(number),
        zone: format!("zone-{}", number.min(3)),
        service: service.to_owned(),
    };
    let core: Vec<Machine> = (1..=4)
        .map(|number| machine(&fleet, "core", &format!("core-{number}"), number, ""))
        .collect();
    let side = machine(&fleet, "sidecar", "sidecar-1", 5, "svc");
    let seeds: Vec<String> = core[..3].iter().map(|m| fleet.control(m)).collect();
    fleet.start(&core[2], &seeds, true);
    // All machines start within 0.3 s of each other.
    sleep_ms(250);
    fleet.start(&core[0], &seeds, true);
    fleet.start(&core[1], &seeds, true);
    fleet.start(&side, &seeds, true);
    if has_trouble() {
        record.line("core-3 is lost for good");
        fleet.signal(&core[2], "KILL");
        fleet.wait_end(&core[2]);
        sleep_ms(1_000);
        record.line("an empty machine is added in its place, at another address");
        fleet.start(&core[3], &seeds, false);
    }
    let present = match has_trouble() {
        true => [0, 1, 3],
        false => [0, 1, 2],
    };
    let listed: Vec<String> = present.iter().map(|at| fleet.control(&core[*at])).collect();
    let first = config(1, "first.example", "svc", "");
    let sent = Instant::now();
    let mut status = None;
    while status.is_none() && sent.elapsed() < Duration::from_secs(40) {
        status = put_config(&record, &listed, 0, &first, Duration::from_secs(5));
        let ready = call(&fleet.ready(&side), "GET", "/foxtailgauge/ready", &[], b"", Duration::from_secs(1));
        let ready = ready.map_or_else(|e| e.kind().to_string(), |a| a.status.to_string());
        record.line(format!("status check of sidecar-1: {ready}"));
        if (0..4).any(|at| present.contains(&at) && fleet.has_ended(&core[at])) {
            exit(fleet, &record, 2, "a process of the core has ended");
        }
    }
    let took_s = sent.elapsed().as_secs_f64();
    match status {
        Some(200) => exit(fleet, &record, 0, &format!("the first configuration is accepted after {took_s:.1} s")),
        Some(status) => exit(fleet, &record, 2, &format!("the first configuration got {status}")),
        None => exit(
            fleet,
            &record,
            1,
            "the first configuration has no confirmation after 40 s, with three machines of the core running",
        ),
    }
}
