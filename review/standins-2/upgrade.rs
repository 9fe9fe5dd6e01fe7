//! Two workers run v2, and the last one of v1 is upgraded in place: it starts again under its id as v2. Streams that
//! break off may go on only at the version that began them.

mod site;

use site::{answer, unix_ms, Head, Record, Site, SitePlan, Store, Wire};
use std::collections::BTreeSet;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const EVENTS: usize = 240;
const PACE: Duration = Duration::from_millis(50);

fn env(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|t| t.parse().ok()).unwrap_or(default)
}

struct Life {
    born: u64,
    version: String,
    sockets: Vec<TcpStream>,
    is_over: Arc<AtomicBool>,
}

#[derive(Clone)]
struct Worker {
    id: String,
    address: SocketAddr,
    store: Store,
    life: Arc<Mutex<Life>>,
    stamps: Arc<AtomicU64>,
    record: Record,
}

impl Worker {
    fn start(store: &Store, id: &str, version: &str, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let worker = Self {
            id: id.to_string(),
            address: listener.local_addr().unwrap(),
            store: store.clone(),
            life: Arc::new(Mutex::new(Life { born: unix_ms(), version: version.to_string(), sockets: Vec::new(), is_over: Arc::default() })),
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
            "{{\"service\":\"notes\",\"address\":\"{}\",\"zone\":\"hall-0\",\"version\":\"{}\",\"slots\":64,\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":0,\"born\":{}}}",
            self.address, life.version, life.born
        );
        self.store.write("servers", &self.id, &body);
    }

    /// Its process ends, and starts again `down` later with another software version.
    fn restart_as(&self, version: &str, down: Duration) {
        // As in a process that ends, the listening socket is closed before the connections.
        self.life.lock().unwrap().is_over.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(20));
        {
            let mut life = self.life.lock().unwrap();
            for socket in life.sockets.drain(..) {
                let _ = socket.shutdown(Shutdown::Both);
            }
        }
        self.record.note(format!("worker {} ends", self.id));
        thread::sleep(down);
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(10)),
            }
        };
        *self.life.lock().unwrap() =
            Life { born: unix_ms(), version: version.to_string(), sockets: Vec::new(), is_over: Arc::default() };
        self.beat();
        self.record.note(format!("worker {} is back as {version}, and has written its entry", self.id));
        self.clone().accept(listener);
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
                            self.life.lock().unwrap().sockets.push(copy);
                        }
                        let (worker, over) = (self.clone(), is_over.clone());
                        thread::spawn(move || worker.serve(Wire::new(stream), &over));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
    }

    fn serve(self, mut wire: Wire, over: &Arc<AtomicBool>) {
        while let Ok(Some(head)) = wire.head() {
            let Ok(_) = wire.body(&head) else { return };
            if over.load(Ordering::SeqCst) || !self.reply(&mut wire, &head, over) {
                return;
            }
        }
    }

    fn reply(&self, wire: &mut Wire, head: &Head, over: &Arc<AtomicBool>) -> bool {
        let id = head.header("X-Coveproxy-Request-Id").unwrap_or("").to_string();
        if head.header("X-Coveproxy-Expect-Instance").is_some_and(|expected| expected != self.id) {
            return wire.send(&answer("421 Misdirected Request", &[("X-Coveproxy-Request-Id", &id)], b"")).is_ok();
        }
        if head.target() == "/health" {
            return wire.send(&answer("200 OK", &[("X-Coveproxy-Instance-Id", &self.id)], b"")).is_ok();
        }
        let version = self.life.lock().unwrap().version.clone();
        let after: usize = head.header("Last-Event-Id").and_then(|n| n.parse().ok()).unwrap_or(0);
        self.record.note(format!("worker {} ({version}) runs {id} after event {after}", self.id));
        let stamp = format!("{}.{}", self.id, self.stamps.fetch_add(1, Ordering::SeqCst));
        let start = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Coveproxy-Request-Id: {id}\r\nX-Coveproxy-Response-Stamp: {stamp}\r\n\r\n"
        );
        if wire.send(start.as_bytes()).is_err() {
            return false;
        }
        for n in after + 1..=EVENTS {
            thread::sleep(PACE);
            if over.load(Ordering::SeqCst) || !wire.is_open() {
                return false;
            }
            let event = format!("id: {n}\ndata: {version}\n\n");
            if wire.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).is_err() {
                return false;
            }
        }
        wire.send(b"0\r\n\r\n").is_ok()
    }
}

#[derive(Default, Clone)]
struct Seen {
    id: String,
    events: usize,
    versions: BTreeSet<String>,
    whole: bool,
}

fn main() {
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = Record::new();
    let store = Store::start();
    store.write("op", "config", r#"{"version":1,"routes":[{"name":"r-1","host":"x.example","pathPrefix":"/notes/","routeType":"streaming","timeoutMs":25000,"targetLatencyMs":1000,"priority":1,"service":"notes","maxAttempts":2,"sticky":true,"resumable":true,"gapAimMs":250}],"services":[{"name":"notes","healthPath":"/health","maxConnections":96,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#);
    let workers: Vec<Worker> = ["v2", "v2", "v1"]
        .iter()
        .enumerate()
        .map(|(n, version)| Worker::start(&store, &format!("i-{n}"), version, &record))
        .collect();
    let plan = SitePlan { hosts: 3, more_bounds: String::new(), first_start: true };
    let mut site = Site::start(&plan, store);
    if !site.wait_ready(Duration::from_secs(15)) {
        site.stop();
        std::process::exit(2);
    }
    thread::sleep(Duration::from_secs(3));
    let fronts: Vec<SocketAddr> = site.hosts.iter().map(|h| h.front()).collect();
    let mut clients = Vec::new();
    for n in 0..30u64 {
        let (front, record) = (fronts[(n % 3) as usize], record.clone());
        clients.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(n * 30));
            stream(front, n, &record)
        }));
    }
    thread::sleep(Duration::from_secs(3));
    if trouble {
        workers[2].restart_as("v2", Duration::from_millis(env("DOWN_MS", 2000)));
    }
    let seen: Vec<Seen> = clients.into_iter().map(|c| c.join().unwrap_or_default()).collect();
    site.stop();
    let mixed = seen.iter().filter(|s| s.versions.len() > 1).count();
    for one in seen.iter().filter(|s| s.versions.len() > 1) {
        record.note(format!("ORDER: stream {} holds events of {:?}, {} in all", one.id, one.versions, one.events));
    }
    let text = format!(
        "{} streams, {} whole, {mixed} hold events of two versions",
        seen.len(),
        seen.iter().filter(|s| s.whole).count()
    );
    record.note(text.clone());
    println!("{text}");
    let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_string());
    record.write(&path);
    std::process::exit(i32::from(mixed > 2));
}

fn stream(front: SocketAddr, n: u64, record: &Record) -> Seen {
    let id = format!("{:016x}", 0x9c41_0000_0000_0000u64 + n);
    let mut seen = Seen { id: id.clone(), ..Seen::default() };
    let mut read = || -> Option<()> {
        let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
        let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
        let mut wire = Wire::new(stream);
        let request = format!(
            "POST /notes/{n} HTTP/1.1\r\nHost: x.example\r\nX-Coveproxy-Request-Id: {id}\r\nX-Coveproxy-Deadline-Ms: 25000\r\nContent-Length: 5\r\n\r\nnotes"
        );
        wire.send(request.as_bytes()).ok()?;
        let head = wire.head().ok()??;
        record.note(format!("client has {} for {id}", head.status()));
        if head.status() != 200 {
            return None;
        }
        loop {
            match wire.chunk().ok()? {
                Some(chunk) => {
                    for line in String::from_utf8_lossy(&chunk).lines() {
                        if let Some(version) = line.strip_prefix("data: ") {
                            seen.events += 1;
                            seen.versions.insert(version.to_string());
                        }
                    }
                }
                None => return Some(()),
            }
        }
    };
    let whole = read().is_some();
    seen.whole = whole;
    record.note(format!("stream {id}: {} events, versions {:?}, whole {whole}", seen.events, seen.versions));
    seen
}
