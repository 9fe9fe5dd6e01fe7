//! A part of prompts crashes each worker of a service without an engine that begins to write an answer on it.

mod plain;
mod site;

use plain::Plain;
use site::{Record, Site, SitePlan, Store, Wire};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CONTACT: Duration = Duration::from_millis(3000);

fn env(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|t| t.parse().ok()).unwrap_or(default)
}

fn main() {
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = Record::new();
    let store = Store::start();
    store.write("op", "config", r#"{"version":1,"routes":[{"name":"r-1","host":"x.example","pathPrefix":"/notes/","routeType":"streaming","timeoutMs":15000,"targetLatencyMs":800,"priority":2,"service":"notes","maxAttempts":1,"sticky":true,"resumable":false,"gapAimMs":250}],"services":[{"name":"notes","healthPath":"/health","maxConnections":96,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#);
    let workers: Vec<Plain> = (0..4)
        .map(|n| Plain::start(&store, "notes", &format!("i-{n}"), Duration::from_millis(60), &record))
        .collect();
    let plan = SitePlan { hosts: 3, more_bounds: String::new(), first_start: true };
    let mut site = Site::start(&plan, store);
    if !site.wait_ready(Duration::from_secs(15)) {
        site.stop();
        std::process::exit(2);
    }
    thread::sleep(Duration::from_secs(3));
    let fronts: Vec<SocketAddr> = site.hosts.iter().map(|h| h.front()).collect();
    let over = Arc::new(AtomicBool::new(false));
    let number = Arc::new(AtomicU64::new(0));
    let ends: Arc<Mutex<Vec<(bool, u16)>>> = Arc::default();
    if trouble {
        for worker in &workers {
            *worker.deadly_part.lock().unwrap() = Some("dead".to_string());
        }
    }
    let mut senders = Vec::new();
    for (deadly, gap) in [(false, env("SOUND_MS", 100)), (true, env("DEADLY_MS", 1000))] {
        let (fronts, over, number, record, ends) =
            (fronts.clone(), over.clone(), number.clone(), record.clone(), ends.clone());
        senders.push(thread::spawn(move || {
            while !over.load(Ordering::SeqCst) {
                let n = number.fetch_add(1, Ordering::SeqCst);
                let (fronts, record, ends) = (fronts.clone(), record.clone(), ends.clone());
                thread::spawn(move || {
                    let status = send(&fronts, n, deadly, &record);
                    ends.lock().unwrap().push((deadly, status));
                });
                thread::sleep(Duration::from_millis(gap));
            }
        }));
    }
    let until = Instant::now() + Duration::from_secs(env("LENGTH_S", 45));
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
    let late = arrivals.get(4).map_or(0, |fifth| arrivals.iter().filter(|at| **at > *fifth + CONTACT).count());
    let ends = ends.lock().unwrap();
    let count = |deadly: bool, status: u16| ends.iter().filter(|e| **e == (deadly, status)).count();
    let text = format!(
        "requests with the part reached workers {} times, {late} of them later than {} ms after the fifth; they were answered 200 {}, 500 {}, 502 {}, 503 {}; sound ones: 200 {}, 500 {}, 502 {}, 503 {}, none {}",
        arrivals.len(), CONTACT.as_millis(), count(true, 200), count(true, 500), count(true, 502), count(true, 503),
        count(false, 200), count(false, 500), count(false, 502), count(false, 503), count(false, 0)
    );
    record.note(text.clone());
    println!("{text}");
    let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_string());
    record.write(&path);
    std::process::exit(i32::from(late > 3));
}

fn send(fronts: &[SocketAddr], n: u64, deadly: bool, record: &Record) -> u16 {
    let id = format!("{:016x}", 0x9c41_0000_0000_0000u64 + n);
    let host = ((n * 7 + n / 3) % fronts.len() as u64) as usize;
    let other = match deadly {
        true => "dead".to_string(),
        false => format!("5{:02x}", n % 37),
    };
    let status = (|| {
        let stream = TcpStream::connect_timeout(&fronts[host], Duration::from_secs(1)).ok()?;
        let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
        let mut wire = Wire::new(stream);
        let body = format!("prompt {n}");
        let request = format!(
            "POST /notes/{n} HTTP/1.1\r\nHost: x.example\r\nX-Coveproxy-Request-Id: {id}\r\nX-Coveproxy-Model: m0\r\nX-Coveproxy-Token-Counts: 1460,80\r\nX-Coveproxy-Prompt-Prefix: f00d:210,{other}:140,{id}:1110\r\nX-Coveproxy-Deadline-Ms: 15000\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        wire.send(request.as_bytes()).ok()?;
        let head = wire.head().ok()??;
        let chunked = head.header("transfer-encoding").is_some();
        match chunked {
            true => while wire.chunk().ok()?.is_some() {},
            false => drop(wire.body(&head).ok()?),
        }
        Some(head.status())
    })()
    .unwrap_or(0);
    record.note(format!("client has {status} for {id}, sent to front-{}, {other}", host + 1));
    status
}
