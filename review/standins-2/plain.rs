//! A plain worker: runs each request for some time and answers it whole. It follows the pages: an id of its own, 421
//! for another instance, a stamp and the request's id on each answer. A case may name a request that crashes it.

use crate::site::{answer, unix_ms, Head, Record, Store, Wire};
use std::collections::HashMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

struct Life {
    born: u64,
    sockets: Vec<TcpStream>,
    is_over: Arc<AtomicBool>,
}

/// A request that crashes each worker that begins to run it.
#[derive(Clone, PartialEq)]
pub struct Deadly {
    pub target: String,
    /// Its caller, as `X-Coveproxy-Tenant` names it.
    pub caller: String,
}

#[derive(Clone)]
pub struct Plain {
    pub id: String,
    pub address: SocketAddr,
    pub work: Duration,
    /// How often each request began to run here.
    pub runs: Arc<Mutex<HashMap<String, u32>>>,
    /// Arrivals of deadly requests.
    pub deadly_arrivals: Arc<Mutex<Vec<Duration>>>,
    pub deadly: Arc<Mutex<Option<Deadly>>>,
    /// Prompts with this part crash it as well.
    pub deadly_part: Arc<Mutex<Option<String>>>,
    pub down_for: Duration,
    service: String,
    store: Store,
    life: Arc<Mutex<Life>>,
    stamps: Arc<AtomicU64>,
    record: Record,
}

impl Plain {
    pub fn start(store: &Store, service: &str, id: &str, work: Duration, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let worker = Self {
            id: id.to_string(),
            address: listener.local_addr().unwrap(),
            work,
            runs: Arc::default(),
            deadly_arrivals: Arc::default(),
            deadly: Arc::default(),
            deadly_part: Arc::default(),
            down_for: Duration::from_millis(2500),
            service: service.to_string(),
            store: store.clone(),
            life: Arc::new(Mutex::new(Life { born: unix_ms(), sockets: Vec::new(), is_over: Arc::default() })),
            stamps: Arc::default(),
            record: record.clone(),
        };
        worker.beat();
        worker.clone().accept(listener);
        let beats = worker.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(1200));
            beats.beat();
        });
        worker
    }

    fn beat(&self) {
        let life = self.life.lock().unwrap();
        if life.is_over.load(Ordering::SeqCst) {
            return;
        }
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"hall-0\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":0,\"born\":{}}}",
            self.service, self.address, life.born
        );
        self.store.write("servers", &self.id, &body);
    }

    fn accept(self, listener: TcpListener) {
        let is_over = self.life.lock().unwrap().is_over.clone();
        listener.set_nonblocking(true).expect("a socket");
        thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        if let Ok(copy) = stream.try_clone() {
                            let mut life = self.life.lock().unwrap();
                            life.sockets.push(copy);
                            if life.sockets.len() > 4000 {
                                life.sockets.drain(..2000);
                            }
                        }
                        let (worker, over) = (self.clone(), is_over.clone());
                        thread::spawn(move || worker.serve(Wire::new(stream), &over));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
    }

    /// The process ends: all its connections are closed, new ones are refused; it is back after some seconds.
    pub fn crash(&self, why: &str) {
        {
            let mut life = self.life.lock().unwrap();
            if life.is_over.swap(true, Ordering::SeqCst) {
                return;
            }
            for socket in life.sockets.drain(..) {
                let _ = socket.shutdown(Shutdown::Both);
            }
        }
        self.record.note(format!("worker {} crashes: {why}", self.id));
        let worker = self.clone();
        thread::spawn(move || {
            thread::sleep(worker.down_for);
            let listener = loop {
                match TcpListener::bind(worker.address) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(Duration::from_millis(20)),
                }
            };
            *worker.life.lock().unwrap() = Life { born: unix_ms(), sockets: Vec::new(), is_over: Arc::default() };
            worker.record.note(format!("worker {} is back", worker.id));
            worker.beat();
            worker.accept(listener);
        });
    }

    fn serve(self, mut wire: Wire, over: &Arc<AtomicBool>) {
        while let Ok(Some(head)) = wire.head() {
            let Ok(_) = wire.body(&head) else { return };
            if over.load(Ordering::SeqCst) {
                return;
            }
            let Some(reply) = self.reply(&head, over) else { return };
            if over.load(Ordering::SeqCst) || wire.send(&reply).is_err() {
                return;
            }
        }
    }

    fn reply(&self, head: &Head, over: &Arc<AtomicBool>) -> Option<Vec<u8>> {
        if head.header("X-Coveproxy-Expect-Instance").is_some_and(|expected| expected != self.id) {
            return Some(answer("421 Misdirected Request", &[("X-Coveproxy-Instance-Id", &self.id)], b""));
        }
        if head.target() == "/health" {
            return Some(answer("200 OK", &[("X-Coveproxy-Instance-Id", &self.id)], b""));
        }
        let Some(id) = head.header("X-Coveproxy-Request-Id") else {
            return Some(answer("400 Bad Request", &[("X-Coveproxy-Not-Executed", "1")], b""));
        };
        let caller = head.header("X-Coveproxy-Tenant").unwrap_or("").to_string();
        *self.runs.lock().unwrap().entry(id.to_string()).or_default() += 1;
        self.record.note(format!("worker {} runs {id} of {caller}: {}", self.id, head.target()));
        let this = Deadly { target: head.target().to_string(), caller };
        let parts = head.header("X-Coveproxy-Prompt-Prefix").unwrap_or("");
        let has = |part: &String| parts.split(',').any(|p| p.split(':').next() == Some(part));
        let has_part = self.deadly_part.lock().unwrap().as_ref().is_some_and(has);
        if has_part || self.deadly.lock().unwrap().as_ref() == Some(&this) {
            self.deadly_arrivals.lock().unwrap().push(self.record.now());
            // It begins to run.
            thread::sleep(self.work / 2);
            if !over.load(Ordering::SeqCst) {
                self.crash(&format!("it runs {id}"));
            }
            return None;
        }
        let begun = Instant::now();
        thread::sleep(self.work);
        let stamp = format!("{}.{}", self.id, self.stamps.fetch_add(1, Ordering::SeqCst));
        self.record.note(format!("worker {} has run {id} in {} ms", self.id, begun.elapsed().as_millis()));
        let (kind, body): (&str, &[u8]) = match parts.is_empty() {
            true => ("text/plain", b"whole answer"),
            false => ("text/event-stream", b"id: 1\ndata: whole answer\n\n"),
        };
        Some(answer(
            "200 OK",
            &[("Content-Type", kind), ("X-Coveproxy-Request-Id", id), ("X-Coveproxy-Response-Stamp", &stamp)],
            body,
        ))
    }
}
