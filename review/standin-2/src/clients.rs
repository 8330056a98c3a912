//! Stand-ins for clients.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Client, Message};
use crate::record::Record;
use crate::server::lock;

/// The end of a request of a client.
pub struct Sent {
    /// 0 without an answer.
    pub status: u16,
}

/// What the clients share.
pub struct Clients {
    pub record: Arc<Record>,
    pub ended: AtomicBool,
    last_id: AtomicU64,
    pub answered: Mutex<Vec<Sent>>,
    random: AtomicU64,
}

impl Clients {
    pub fn new(record: &Arc<Record>) -> Arc<Self> {
        Arc::new(Self {
            record: Arc::clone(record),
            ended: AtomicBool::new(false),
            last_id: AtomicU64::new(0),
            answered: Mutex::default(),
            random: AtomicU64::new(0x9e37_79b9_7f4a_7c15),
        })
    }

    /// A number below `end`.
    pub fn random(&self, end: u64) -> u64 {
        let step = 0x9e37_79b9_7f4a_7c15;
        let mut z = self.random.fetch_add(step, Ordering::Relaxed);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % end
    }

    /// Sends one request over a connection, which is opened if there is none
    /// and dropped if it breaks. Returns the status; 0 without an answer.
    pub fn send(
        &self,
        client: &mut Option<Client>,
        addr: SocketAddr,
        line: &str,
        key: Option<u64>,
        deadline_ms: u64,
    ) -> u16 {
        let limit = Duration::from_millis(deadline_ms);
        let number = self.last_id.fetch_add(1, Ordering::Relaxed);
        let id = format!("{number:016x}");
        if client.is_none() {
            *client = Client::connect(addr, limit).ok();
        }
        let Some(open) = client else { return 0 };
        let mut headers = vec![
            ("Host".to_owned(), HOST.to_owned()),
            ("Request-Id".to_owned(), id.clone()),
            ("Deadline-Ms".to_owned(), deadline_ms.to_string()),
        ];
        if let Some(key) = key {
            headers.push(("Shard-Key".to_owned(), key.to_string()));
        }
        let line = format!("{line} HTTP/1.1");
        let request = Message { line, headers, body: Vec::new() };
        let key = key.map(|key| format!(", key {key}")).unwrap_or_default();
        self.record.line(&format!("a client sends {id}{key} to {addr}"));
        let (status, keep) = match open.call(&request) {
            Ok(answer) => {
                let closes = answer.header("connection") == Some("close");
                (answer.status(), !closes)
            }
            Err(_) => (0, false),
        };
        self.record.line(&format!("{id} is answered {status}"));
        if !keep {
            *client = None;
        }
        lock(&self.answered).push(Sent { status });
        status
    }

    /// Runs clients of a machine until the case ends, each with one request at
    /// a time. `key` draws the key of a request.
    pub fn run(
        self: &Arc<Self>,
        count: usize,
        addr: SocketAddr,
        line: &'static str,
        pause_ms: u64,
        key: impl Fn(&Self) -> Option<u64> + Clone + Send + 'static,
    ) {
        for _ in 0..count {
            let (clients, key) = (Arc::clone(self), key.clone());
            thread::spawn(move || {
                let mut open = None;
                while !clients.ended.load(Ordering::Relaxed) {
                    let key = key(&clients);
                    let status =
                        clients.send(&mut open, addr, line, key, 2_000);
                    let pause = if status == 200 { pause_ms } else { 300 };
                    let spread = clients.random(pause / 2 + 1);
                    thread::sleep(Duration::from_millis(pause * 3 / 4 + spread));
                }
            });
        }
    }
}

/// Host of all routes.
pub const HOST: &str = "ficu95.example";
