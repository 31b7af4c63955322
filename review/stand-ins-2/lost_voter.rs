//! Case: a machine of the core is replaced in planned work, and then one other machine loses its disk.

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
    let core = |fleet: &Fleet, number: usize| Machine {
        name: format!("core-{number}"),
        class: "core",
        ip: fleet.ip(number),
        zone: format!("zone-{}", number.min(3)),
        service: String::new(),
    };
    let machines: Vec<Machine> = (1..=4).map(|number| core(&fleet, number)).collect();
    let [a, b, c, d] = [&machines[0], &machines[1], &machines[2], &machines[3]];
    let addr = |fleet: &Fleet, machine: &Machine| fleet.control(machine);
    let seeds: Vec<String> = [a, b, c].map(|m| addr(&fleet, m)).to_vec();
    for machine in [a, b, c] {
        fleet.start(machine, &seeds, true);
    }
    let first = config(1, "first.example", "svc", "");
    if put_config(&record, &seeds, 0, &first, Duration::from_secs(15)) != Some(200) {
        exit(fleet, &record, 2, "the first configuration was not accepted");
    }
    sleep_ms(5_000);
    record.line("planned work: the successor of core-3 starts, empty, at another address");
    fleet.start(d, &seeds, false);
    // catch_up_s is 4.
    sleep_ms(6_000);
    record.line("planned work: core-3 is removed for good");
    fleet.signal(c, "TERM");
    fleet.wait_end(c);
    let ended = Instant::now();
    sleep_ms(1_000);
    let left: Vec<String> = [a, b, d].map(|m| addr(&fleet, m)).to_vec();
    let second = config(2, "first.example", "svc", "");
    if put_config(&record, &left, 1, &second, Duration::from_secs(10)) != Some(200) {
        exit(fleet, &record, 2, "the second configuration was not accepted");
    }
    record.line(format!(
        "version 2 is acknowledged, {:.2} s after the end of core-3",
        ended.elapsed().as_secs_f64()
    ));
    if has_trouble() {
        fleet.signal(b, "KILL");
        fleet.wait_end(b);
        fleet.wipe(b);
        sleep_ms(1_000);
        fleet.start(b, &left, false);
    }
    let back = Instant::now();
    let mut read = 0;
    let mut recovered_s = None;
    let mut last = Vec::new();
    while back.elapsed() < WATCHED {
        let answers: Vec<_> = left.iter().map(|addr| get_version(addr)).collect();
        if answers != last {
            record.line(format!("reads at core-1, core-2, core-4: {answers:?}"));
            last = answers.clone();
        }
        let is_new = answers.iter().flatten().any(|version| version == "00000002");
        if is_new {
            read += 1;
            recovered_s.get_or_insert(back.elapsed().as_secs_f64());
        }
        if read >= 6 {
            break;
        }
        sleep_ms(500);
    }
    let third = config(3, "first.example", "svc", "");
    let order = put_config(&record, &left, 2, &third, Duration::from_secs(8));
    record.line(format!("order of version 3: {order:?}"));
    match recovered_s {
        Some(at) if order == Some(200) => {
            exit(fleet, &record, 0, &format!("version 2 is read {at:.1} s after all are back"))
        }
        _ => exit(
            fleet,
            &record,
            1,
            "version 2 was acknowledged and cannot be read 30 s after all are back; no order is accepted",
        ),
    }
}
