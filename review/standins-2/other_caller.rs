//! One caller's request crashes each worker that begins to run it; another caller's request of the same path is sound.

mod plain;
mod site;

use plain::{Deadly, Plain};
use site::{Record, Site, SitePlan, Store, Wire};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const TARGET: &str = "/balance/mine";
const CONTACT: Duration = Duration::from_millis(3000);

fn env(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|t| t.parse().ok()).unwrap_or(default)
}

fn main() {
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = Record::new();
    let store = Store::start();
    let config = r#"{"version":1,"routes":[{"name":"r-1","host":"x.example","pathPrefix":"/balance/","routeType":"safe","timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"ledger","maxAttempts":2,"resumable":false}],"services":[{"name":"ledger","healthPath":"/health","maxConnections":96,"protocol":"h1","tls":false}],"tenants":[{"name":"tenant-a","apiKeys":["key-a"],"priority":0,"unit":"token_stream","plainTokens":1,"ratePerS":0,"burst":0},{"name":"tenant-b","apiKeys":["key-b"],"priority":0,"unit":"token_stream","plainTokens":1,"ratePerS":0,"burst":0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;
    store.write("op", "config", config);
    let workers: Vec<Plain> = (0..4)
        .map(|n| Plain::start(&store, "ledger", &format!("i-{n}"), Duration::from_millis(30), &record))
        .collect();
    let plan = SitePlan { hosts: 3, more_bounds: "revoke_ms = 5000\n".to_string(), first_start: true };
    let mut site = Site::start(&plan, store);
    if !site.wait_ready(Duration::from_secs(15)) {
        site.stop();
        std::process::exit(2);
    }
    thread::sleep(Duration::from_secs(4));
    let fronts: Vec<SocketAddr> = site.hosts.iter().map(|h| h.front()).collect();
    let over = Arc::new(AtomicBool::new(false));
    let number = Arc::new(AtomicU64::new(0));
    let ends: Arc<Mutex<Vec<(bool, u16)>>> = Arc::default();
    if trouble {
        for worker in &workers {
            *worker.deadly.lock().unwrap() = Some(Deadly { target: TARGET.to_string(), caller: "tenant-a".to_string() });
        }
    }
    let mut senders = Vec::new();
    for (key, gap) in [("key-b", env("SOUND_MS", 100)), ("key-a", env("DEADLY_MS", 1000))] {
        let (fronts, over, number, record, ends) =
            (fronts.clone(), over.clone(), number.clone(), record.clone(), ends.clone());
        senders.push(thread::spawn(move || {
            while !over.load(Ordering::SeqCst) {
                let n = number.fetch_add(1, Ordering::SeqCst);
                let (fronts, record, ends) = (fronts.clone(), record.clone(), ends.clone());
                thread::spawn(move || {
                    let status = send(&fronts, n, key, &record);
                    ends.lock().unwrap().push((key == "key-a", status));
                });
                let next = Instant::now() + Duration::from_millis(gap);
                while Instant::now() < next && !over.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(gap.min(50)));
                }
            }
        }));
    }
    let until = Instant::now() + Duration::from_secs(env("LENGTH_S", 50));
    while Instant::now() < until {
        thread::sleep(Duration::from_millis(50));
    }
    over.store(true, Ordering::SeqCst);
    for sender in senders {
        let _ = sender.join();
    }
    thread::sleep(Duration::from_millis(1500));
    site.stop();
    let mut arrivals: Vec<Duration> = Vec::new();
    for worker in &workers {
        arrivals.extend(worker.deadly_arrivals.lock().unwrap().iter());
    }
    arrivals.sort();
    let late = arrivals.get(2).map_or(0, |third| arrivals.iter().filter(|at| **at > *third + CONTACT).count());
    let ends = ends.lock().unwrap();
    let count = |deadly: bool, status: u16| ends.iter().filter(|e| **e == (deadly, status)).count();
    let text = format!(
        "tenant-a's request reached workers {} times, {late} of them later than {} ms after the third; it was answered 200 {}, 500 {}, 502 {}, 503 {}; tenant-b's: 200 {}, 500 {}, 502 {}, 503 {}, none {}",
        arrivals.len(), CONTACT.as_millis(), count(true, 200), count(true, 500), count(true, 502), count(true, 503),
        count(false, 200), count(false, 500), count(false, 502), count(false, 503), count(false, 0)
    );
    record.note(text.clone());
    println!("{text}");
    let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_string());
    record.write(&path);
    std::process::exit(i32::from(late > 3));
}

fn send(fronts: &[SocketAddr], n: u64, key: &str, record: &Record) -> u16 {
    let id = format!("{:016x}", 0x9c41_0000_0000_0000u64 + n);
    let host = ((n * 7 + n / 3) % fronts.len() as u64) as usize;
    let status = (|| {
        let stream = TcpStream::connect_timeout(&fronts[host], Duration::from_secs(1)).ok()?;
        let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
        let mut wire = Wire::new(stream);
        let request = format!(
            "GET {TARGET} HTTP/1.1\r\nHost: x.example\r\nAuthorization: Bearer {key}\r\nX-Coveproxy-Request-Id: {id}\r\nX-Coveproxy-Deadline-Ms: 1000\r\n\r\n"
        );
        wire.send(request.as_bytes()).ok()?;
        let head = wire.head().ok()??;
        wire.body(&head).ok()?;
        Some(head.status())
    })()
    .unwrap_or(0);
    record.note(format!("client of {key} has {status} for {id}, sent to front-{}", host + 1));
    status
}
