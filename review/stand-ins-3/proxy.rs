//! A proxy in front of one address of a machine. While the machine is suspended, what clients send is held
//! up, as by a machine that acknowledges nothing; after it, the bytes arrive, and the end of the connection one
//! round trip later.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

const ROUND_TRIP: Duration = Duration::from_millis(10);

#[derive(Clone)]
pub struct Proxy {
    pub addr: SocketAddr,
    is_suspended: Arc<AtomicBool>,
}

impl Proxy {
    pub fn start(addr: SocketAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        let is_suspended = Arc::new(AtomicBool::new(false));
        let proxy = Proxy {
            addr: listener.local_addr()?,
            is_suspended,
        };
        let accepting = proxy.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let proxy = accepting.clone();
                std::thread::spawn(move || proxy.serve(client, target));
            }
        });
        Ok(proxy)
    }

    pub fn suspend(&self, is_suspended: bool) {
        self.is_suspended.store(is_suspended, Ordering::SeqCst);
    }

    fn wait(&self) {
        while self.is_suspended.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    fn serve(&self, mut client: TcpStream, target: SocketAddr) {
        let Ok(mut server) = TcpStream::connect(target) else {
            return;
        };
        let _ = server.set_nodelay(true);
        let (Ok(mut from_server), Ok(mut to_client)) = (server.try_clone(), client.try_clone())
        else {
            return;
        };
        std::thread::spawn(move || {
            let _ = std::io::copy(&mut from_server, &mut to_client);
            let _ = to_client.shutdown(Shutdown::Write);
        });
        let mut chunk = [0; 65_536];
        loop {
            let count = client.read(&mut chunk).unwrap_or(0);
            self.wait();
            if count == 0 {
                break;
            }
            if server.write_all(&chunk[..count]).is_err() {
                return;
            }
        }
        std::thread::sleep(ROUND_TRIP);
        let _ = server.shutdown(Shutdown::Write);
    }
}
