//! A model worker: one base model, adapters by order, streams of events. It follows the pages; a case may crash it, and
//! some seconds later it is back, empty, under its id, with the model on its disk.

use crate::site::{answer, unix_ms, Head, Json, Record, Store, Wire};
use std::collections::HashMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long the parts of the work take.
#[derive(Clone, Copy)]
pub struct Pace {
    pub disk_load: Duration,
    pub first_event: Duration,
    pub between_events: Duration,
}

/// One life of the process.
struct Life {
    born: u64,
    model: Option<String>,
    busy: bool,
    sequence: u64,
    running: u64,
    /// When it first began to answer.
    first_answer: Option<Instant>,
    sockets: Vec<TcpStream>,
    is_over: Arc<AtomicBool>,
}

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    model: String,
    pace: Pace,
    store: Store,
    record: Record,
    life: Arc<Mutex<Life>>,
    /// Answers that began here, by request.
    pub begun: Arc<Mutex<HashMap<String, u32>>>,
    pub arrivals: Arc<AtomicU64>,
    pub crashes: Arc<Mutex<Vec<(Duration, String)>>>,
    /// Prompts with this part crash it as it begins to write an answer.
    pub deadly_part: Arc<Mutex<Option<String>>>,
    /// How long it is down after a crash.
    pub down_for: Duration,
    stamps: Arc<AtomicU64>,
}

impl Engine {
    pub fn start(store: &Store, service: &str, id: &str, model: &str, pace: Pace, down_for: Duration, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        let life = Life {
            born: unix_ms(),
            model: Some(model.to_string()),
            busy: false,
            sequence: 0,
            running: 0,
            first_answer: None,
            sockets: Vec::new(),
            is_over: Arc::default(),
        };
        let engine = Self {
            id: id.to_string(),
            address,
            service: service.to_string(),
            model: model.to_string(),
            pace,
            store: store.clone(),
            record: record.clone(),
            life: Arc::new(Mutex::new(life)),
            begun: Arc::default(),
            arrivals: Arc::default(),
            crashes: Arc::default(),
            deadly_part: Arc::default(),
            down_for,
            stamps: Arc::default(),
        };
        engine.beat();
        engine.clone().accept(listener);
        let beats = engine.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(1200));
            beats.beat();
        });
        engine
    }

    fn accept(self, listener: TcpListener) {
        let is_over = self.life.lock().unwrap().is_over.clone();
        listener.set_nonblocking(true).expect("a socket");
        thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let mut life = self.life.lock().unwrap();
                        if let Ok(copy) = stream.try_clone() {
                            life.sockets.push(copy);
                            if life.sockets.len() > 4000 {
                                life.sockets.drain(..2000);
                            }
                        }
                        drop(life);
                        let engine = self.clone();
                        let over = is_over.clone();
                        thread::spawn(move || engine.serve(Wire::new(stream), &over));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
    }

    /// Its own row of the list.
    fn beat(&self) {
        let life = self.life.lock().unwrap();
        if life.is_over.load(Ordering::SeqCst) {
            return;
        }
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"hall-0\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"coldLeftMs\":0,\"stage\":\"unified\",\"models\":{},\"sequence\":{},\"born\":{}}}",
            self.service, self.address, models(&life.model), life.sequence, life.born
        );
        self.store.write("servers", &self.id, &body);
    }

    pub fn is_up(&self) -> bool {
        !self.life.lock().unwrap().is_over.load(Ordering::SeqCst)
    }

    /// When the present life first began to answer.
    pub fn first_answer(&self) -> Option<Instant> {
        let life = self.life.lock().unwrap();
        life.first_answer.filter(|_| !life.is_over.load(Ordering::SeqCst))
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
        self.crashes.lock().unwrap().push((self.record.now(), why.to_string()));
        self.record.note(format!("worker {} crashes: {why}", self.id));
        let engine = self.clone();
        thread::spawn(move || {
            thread::sleep(engine.down_for);
            let listener = loop {
                match TcpListener::bind(engine.address) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(Duration::from_millis(20)),
                }
            };
            *engine.life.lock().unwrap() = Life {
                born: unix_ms(),
                model: None,
                busy: false,
                sequence: 0,
                running: 0,
                first_answer: None,
                sockets: Vec::new(),
                is_over: Arc::default(),
            };
            engine.record.note(format!("worker {} is back", engine.id));
            engine.beat();
            engine.accept(listener);
        });
    }

    fn serve(self, mut wire: Wire, over: &Arc<AtomicBool>) {
        while let Ok(Some(head)) = wire.head() {
            if over.load(Ordering::SeqCst) {
                return;
            }
            let Ok(body) = wire.body(&head) else { return };
            let goes_on = match head.target() {
                "/health" => wire.send(&answer("200 OK", &[("X-Coveproxy-Instance-Id", &self.id)], b"")).is_ok(),
                "/report" => wire.send(&self.report()).is_ok(),
                "/order" => wire.send(&self.order(&head, &body, over)).is_ok(),
                _ => self.run(&mut wire, &head, over),
            };
            if !goes_on {
                return;
            }
        }
    }

    fn report(&self) -> Vec<u8> {
        let life = self.life.lock().unwrap();
        let body = format!(
            "{{\"stage\":\"unified\",\"models\":{},\"busy\":{},\"sequence\":{},\"waiting\":0,\"running\":{},\"kvUsed\":0,\"kvTotal\":129799,\"handles\":0,\"coming\":[],\"atHand\":{{\"inMemory\":[],\"onDisk\":[\"{}\"]}},\"born\":{}}}",
            models(&life.model), life.busy, life.sequence, life.running, self.model, life.born
        );
        answer("200 OK", &[("Content-Type", "application/json")], body.as_bytes())
    }

    fn order(&self, head: &Head, body: &[u8], over: &Arc<AtomicBool>) -> Vec<u8> {
        let id = head.header("X-Coveproxy-Request-Id").unwrap_or("").to_string();
        let reply = |status: &str| answer(status, &[("X-Coveproxy-Request-Id", &id)], b"");
        if head.header("X-Coveproxy-Expect-Instance").is_some_and(|expected| expected != self.id) {
            return reply("421 Misdirected Request");
        }
        let Some(call) = Json::parse(&String::from_utf8_lossy(body)) else { return reply("400 Bad Request") };
        let mut life = self.life.lock().unwrap();
        if life.busy || call.number("expected").is_some_and(|n| n != life.sequence) {
            return reply("409 Conflict");
        }
        let loads = call.text("operation") == Some("load");
        if !loads || call.text("adapter").is_some() {
            return reply("400 Bad Request");
        }
        if life.model.is_some() {
            return reply("200 OK");
        }
        life.busy = true;
        life.sequence += 1;
        let (engine, over) = (self.clone(), over.clone());
        thread::spawn(move || {
            thread::sleep(engine.pace.disk_load);
            if over.load(Ordering::SeqCst) {
                return;
            }
            {
                let mut life = engine.life.lock().unwrap();
                life.busy = false;
                life.model = Some(engine.model.clone());
            }
            engine.beat();
        });
        reply("202 Accepted")
    }

    /// Streams one answer; false if the connection is over.
    fn run(&self, wire: &mut Wire, head: &Head, over: &Arc<AtomicBool>) -> bool {
        let id = head.header("X-Coveproxy-Request-Id").unwrap_or("").to_string();
        if head.header("X-Coveproxy-Expect-Instance").is_some_and(|expected| expected != self.id) {
            return wire.send(&answer("421 Misdirected Request", &[("X-Coveproxy-Request-Id", &id)], b"")).is_ok();
        }
        if self.life.lock().unwrap().model.is_none() {
            return wire.send(&answer("421 Misdirected Request", &[("X-Coveproxy-Request-Id", &id)], b"")).is_ok();
        }
        self.arrivals.fetch_add(1, Ordering::SeqCst);
        self.record.note(format!("worker {} gets {id}", self.id));
        self.life.lock().unwrap().running += 1;
        let kept = self.stream(wire, head, &id, over);
        let mut life = self.life.lock().unwrap();
        life.running = life.running.saturating_sub(1);
        kept
    }

    fn stream(&self, wire: &mut Wire, head: &Head, id: &str, over: &Arc<AtomicBool>) -> bool {
        thread::sleep(self.pace.first_event);
        if over.load(Ordering::SeqCst) || !wire.is_open() {
            return false;
        }
        let deadly = self.deadly_part.lock().unwrap().clone();
        let parts = head.header("X-Coveproxy-Prompt-Prefix").unwrap_or("");
        let has = |part: &str| parts.split(',').any(|p| p.split(':').next() == Some(part));
        if deadly.is_some_and(|part| has(&part)) {
            self.crash(&format!("a prompt with the deadly part, {id}"));
            return false;
        }
        *self.begun.lock().unwrap().entry(id.to_string()).or_default() += 1;
        {
            let mut life = self.life.lock().unwrap();
            if life.first_answer.is_none() {
                life.first_answer = Some(Instant::now());
            }
        }
        let count = head
            .header("X-Coveproxy-Token-Counts")
            .and_then(|counts| counts.split(',').nth(1).map(str::to_string))
            .and_then(|n| n.parse::<usize>().ok())
            .unwrap_or(20)
            / 2;
        let stamp = format!("{}.{}", self.id, self.stamps.fetch_add(1, Ordering::SeqCst));
        let start = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Coveproxy-Request-Id: {id}\r\nX-Coveproxy-Response-Stamp: {stamp}\r\nX-Coveproxy-Weight-Versions: 1\r\n\r\n"
        );
        if wire.send(start.as_bytes()).is_err() {
            return false;
        }
        for n in 1..=count.max(1) {
            if n > 1 {
                thread::sleep(self.pace.between_events);
            }
            if over.load(Ordering::SeqCst) {
                return false;
            }
            let event = format!("id: {n}\ndata: piece {n} of {id}\n\n");
            if wire.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).is_err() || !wire.is_open() {
                return false;
            }
        }
        wire.send(b"0\r\n\r\n").is_ok()
    }
}

fn models(model: &Option<String>) -> String {
    match model {
        Some(name) => format!("[{{\"name\":\"{name}\",\"version\":1,\"adapters\":[]}}]"),
        None => "[]".to_string(),
    }
}
