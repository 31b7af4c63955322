//! A stand-in backend server on the product's own routes. It announces itself to the daemon of its
//! instance three times in each lease, as docs/INTERFACES.md tells, and answers each request after its
//! work.

use crate::http::{call, read_request, Request};
use crate::record::now_ms;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Announcements in the time of a lease.
const ANNOUNCEMENTS_PER_LEASE: u64 = 3;

pub struct Arguments {
    pub name: String,
    /// As TEAM/SERVICE.
    pub service: String,
    pub addr: SocketAddr,
    pub announce: SocketAddr,
    pub slots: u32,
    pub work: Duration,
    pub lease_ms: u64,
    /// Of each so many answers one is written again, where the next answer on its connection is due;
    /// 0 for none.
    pub copy_every: u64,
    pub journal: String,
}

struct Server {
    arguments: Arguments,
    journal: Mutex<File>,
    answers: AtomicU64,
}

/// Runs until the process is killed.
pub fn run(arguments: Arguments) -> std::io::Result<()> {
    let journal = OpenOptions::new()
        .create(true)
        .append(true)
        .open(&arguments.journal)?;
    let listener = TcpListener::bind(arguments.addr)?;
    let server = Arc::new(Server {
        arguments,
        journal: Mutex::new(journal),
        answers: AtomicU64::new(0),
    });
    let announcing = Arc::clone(&server);
    std::thread::spawn(move || loop {
        announcing.announce();
        let pause_ms = announcing.arguments.lease_ms / ANNOUNCEMENTS_PER_LEASE;
        std::thread::sleep(Duration::from_millis(pause_ms));
    });
    for stream in listener.incoming().flatten() {
        let server = Arc::clone(&server);
        std::thread::spawn(move || server.serve(stream));
    }
    Ok(())
}

impl Server {
    fn announce(&self) {
        let Arguments {
            name,
            service,
            addr,
            slots,
            lease_ms,
            ..
        } = &self.arguments;
        let body = format!(
            "{{\"service\":\"{service}\",\"addr\":\"{addr}\",\"slots\":{slots},\
             \"state\":\"ready\",\"lease_ms\":{lease_ms}}}"
        );
        let start = format!("PUT /v1/servers/{name}");
        let json = [("Content-Type", "application/json")];
        let answer = call(
            self.arguments.announce,
            &start,
            &json,
            &body,
            Duration::from_secs(1),
        );
        let status = answer.map_or(0, |response| response.status);
        self.log(&format!(
            "announced {name} of {service} at {addr}, answer {status}"
        ));
    }

    fn log(&self, text: &str) {
        let mut journal = self.journal.lock().expect("journal");
        let line = format!("{} {} {text}\n", now_ms(), self.arguments.name);
        let _ = journal.write_all(line.as_bytes());
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut bytes = Vec::new();
        let mut copy: Option<String> = None;
        while let Some(request) = read_request(&mut stream, &mut bytes) {
            if let Some(copy) = copy.take() {
                self.log(&format!("copy before the answer to {}", request.path));
                if stream.write_all(copy.as_bytes()).is_err() {
                    return;
                }
            }
            let answer = self.answer(&request);
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            let number = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
            let every = self.arguments.copy_every;
            if every > 0 && number % every == 0 {
                copy = Some(answer);
            }
        }
    }

    fn answer(&self, request: &Request) -> String {
        let Arguments { name, service, .. } = &self.arguments;
        let key = request.header("idempotency-key").unwrap_or("-");
        let id = request.header("attempt-id").unwrap_or("-");
        let Request { method, path, .. } = request;
        self.log(&format!(
            "run service={service} {method} {path} key={key} id={id}"
        ));
        std::thread::sleep(self.arguments.work);
        self.log(&format!(
            "end service={service} {method} {path} key={key} id={id}"
        ));
        let body = format!(
            "{{\"service\":\"{service}\",\"server\":\"{name}\",\"path\":\"{path}\",\"key\":\"{key}\"}}"
        );
        format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nAttempt-Id: {id}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }
}
