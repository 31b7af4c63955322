//! Case: two machines of the core are replaced in planned work, and much later one machine loses its disk.

mod harness;
use harness::*;
use std::path::Path;
use std::time::{Duration, Instant};

/// Time for which the configuration is read at the end: twice `recovery_s`.
const WATCHED: Duration = Duration::from_secs(30);

fn main() {
    let file = std::env::args().nth(1).expect("file of the record");
    let record = Record::new(Path::new(&file));
    let mut fleet = Fleet::new(&record);
    let machines: Vec<Machine> = (1..=5)
        .map(|number| Machine {
            name: format!("core-{number}"),
            class: "core",
            ip: fleet.ip(number),
            // The successors of core-2 and core-3 stand in the same zones.
            zone: format!("zone-{}", [1, 2, 3, 3, 2][number - 1]),
            service: String::new(),
        })
        .collect();
    let [a, b, c, d, e] = [0, 1, 2, 3, 4].map(|at| &machines[at]);
    let seeds: Vec<String> = [a, b, c].map(|m| fleet.control(m)).to_vec();
    for machine in [a, b, c] {
        fleet.start(machine, &seeds, true);
    }
    let first = config(1, "first.example", "svc", "");
    if put_config(&record, &seeds, 0, &first, Duration::from_secs(15)) != Some(200) {
        exit(fleet, &record, 2, "the first configuration was not accepted");
    }
    sleep_ms(3_000);
    record.line("planned work: the successors of core-3 and core-2 start, empty, at other addresses");
    fleet.start(d, &seeds, false);
    fleet.start(e, &seeds, false);
    // catch_up_s is 4.
    sleep_ms(6_000);
    record.line("planned work: core-3 is removed for good");
    fleet.signal(c, "TERM");
    fleet.wait_end(c);
    sleep_ms(8_000);
    record.line("planned work: core-2 is removed for good");
    fleet.signal(b, "TERM");
    fleet.wait_end(b);
    sleep_ms(8_000);
    let left: Vec<String> = [a, d, e].map(|m| fleet.control(m)).to_vec();
    let second = config(2, "first.example", "svc", "");
    if put_config(&record, &left, 1, &second, Duration::from_secs(10)) != Some(200) {
        exit(fleet, &record, 2, "the second configuration was not accepted");
    }
    record.line("version 2 is acknowledged; core-1, core-4 and core-5 run");
    if has_trouble() {
        fleet.signal(a, "KILL");
        fleet.wait_end(a);
        fleet.wipe(a);
        sleep_ms(1_000);
        fleet.start(a, &left, false);
    }
    let back = Instant::now();
    let mut read = 0;
    let mut last = Vec::new();
    while back.elapsed() < WATCHED && read < 6 {
        let answers: Vec<_> = left.iter().map(|addr| get_version(addr)).collect();
        if answers != last {
            record.line(format!("reads at core-1, core-4, core-5: {answers:?}"));
            last = answers.clone();
        }
        read += u32::from(answers.iter().flatten().any(|version| version == "00000002"));
        sleep_ms(500);
    }
    let read_s = back.elapsed().as_secs_f64();
    let third = config(3, "first.example", "svc", "");
    let order = put_config(&record, &left, 2, &third, Duration::from_secs(8));
    record.line(format!("order of version 3: {order:?}"));
    match order {
        Some(200) if read >= 6 => exit(
            fleet,
            &record,
            0,
            &format!("version 2 was read six times within {read_s:.1} s after all are back"),
        ),
        _ => exit(
            fleet,
            &record,
            1,
            "version 2 was acknowledged and cannot be read 30 s after all are back; no order is accepted",
        ),
    }
}
