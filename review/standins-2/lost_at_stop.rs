//! Machines are stopped and started in turn (SIGTERM) while clients send requests that can't be repeated.

mod plain;
mod site;

use plain::Plain;
use site::{Record, Site, SitePlan, Store, Wire};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Debug, Clone)]
struct Sent {
    id: String,
    host: usize,
    at: Duration,
    end: Duration,
    /// A whole answer's status; `None`: the connection ended without one.
    status: Option<u16>,
    connected: bool,
}

fn main() {
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = Record::new();
    let store = Store::start();
    let config = r#"{"version":1,"routes":[{"name":"r-1","host":"x.example","pathPrefix":"/book/","routeType":"unsafe","timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"booking","maxAttempts":1,"resumable":false}],"services":[{"name":"booking","healthPath":"/health","maxConnections":96,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;
    store.write("op", "config", config);
    let workers: Vec<Plain> = (0..3)
        .map(|n| Plain::start(&store, "booking", &format!("i-{n}"), Duration::from_millis(30), &record))
        .collect();
    let plan = SitePlan { hosts: 3, more_bounds: String::new(), first_start: true };
    let mut site = Site::start(&plan, store);
    if !site.wait_ready(Duration::from_secs(15)) {
        site.stop();
        std::process::exit(2);
    }
    thread::sleep(Duration::from_secs(2));
    let fronts: Vec<SocketAddr> = site.hosts.iter().map(|h| h.front()).collect();
    let over = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let number = Arc::new(AtomicU64::new(0));
    let per_client: u64 = std::env::var("GAP_MS").ok().and_then(|t| t.parse().ok()).unwrap_or(100);
    let clients: u64 = std::env::var("CLIENTS").ok().and_then(|t| t.parse().ok()).unwrap_or(6);
    let mut threads = Vec::new();
    for client in 0..clients {
        let (fronts, over, sent, number, record) =
            (fronts.clone(), over.clone(), sent.clone(), number.clone(), record.clone());
        threads.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(client * 17));
            let mut pick = client as usize;
            while !over.load(Ordering::SeqCst) {
                pick = (pick * 7 + 3 + client as usize) % 101;
                let n = number.fetch_add(1, Ordering::SeqCst);
                let one = send(&fronts, pick % fronts.len(), n, &record);
                sent.lock().unwrap().push(one);
                thread::sleep(Duration::from_millis(per_client));
            }
        }));
    }
    let mut stops: Vec<(usize, Duration, Duration)> = Vec::new();
    let until = Instant::now() + Duration::from_secs(std::env::var("LENGTH_S").ok().and_then(|t| t.parse().ok()).unwrap_or(90));
    let mut turn = 0;
    while Instant::now() < until {
        if !trouble {
            thread::sleep(Duration::from_millis(500));
            continue;
        }
        let host = &mut site.hosts[turn % 3];
        let at = record.now();
        host.signal("TERM");
        host.wait_end(Duration::from_secs(8));
        stops.push((turn % 3, at, record.now()));
        record.note(format!("{} got SIGTERM at {:.3} and has ended", host.name, at.as_secs_f64()));
        host.start();
        site.wait_ready(Duration::from_secs(10));
        thread::sleep(Duration::from_millis(300));
        turn += 1;
    }
    over.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    thread::sleep(Duration::from_millis(500));
    site.stop();
    let mut runs: HashMap<String, u32> = HashMap::new();
    for worker in &workers {
        for (id, count) in worker.runs.lock().unwrap().iter() {
            *runs.entry(id.clone()).or_default() += count;
        }
    }
    let sent = sent.lock().unwrap();
    let mut lost = 0;
    let mut by_status: HashMap<String, u32> = HashMap::new();
    for one in sent.iter() {
        let label = match (one.status, one.connected) {
            (Some(status), _) => status.to_string(),
            (None, true) => "closed".to_string(),
            (None, false) => "no connection".to_string(),
        };
        *by_status.entry(label).or_default() += 1;
        let ran = runs.get(&one.id).copied().unwrap_or(0);
        let around = stops.iter().find(|(host, from, to)| {
            *host == one.host && *from <= one.end && one.at <= *to + Duration::from_secs(1)
        });
        if one.status.is_none() && ran > 0 {
            if let Some((host, from, to)) = around {
                lost += 1;
                record.note(format!(
                    "LOST {} sent {:.3} to front-{}, ran {ran} times, connection ended {:.3}; SIGTERM {:.3}, process over {:.3}",
                    one.id, one.at.as_secs_f64(), host + 1, one.end.as_secs_f64(), from.as_secs_f64(), to.as_secs_f64()
                ));
            }
        }
        if ran > 1 {
            record.note(format!("TWICE {} ran {ran} times", one.id));
        }
    }
    let text = format!("{} requests, {by_status:?}, {} stops, {lost} lost", sent.len(), stops.len());
    record.note(text.clone());
    println!("{text}");
    let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_string());
    record.write(&path);
    std::process::exit(i32::from(lost > 0));
}

fn send(fronts: &[SocketAddr], first: usize, n: u64, record: &Record) -> Sent {
    let id = format!("{:016x}", 0x9c41_0000_0000_0000u64 + n);
    for step in 0..fronts.len() {
        let host = (first + step) % fronts.len();
        let at = record.now();
        let Ok(stream) = TcpStream::connect_timeout(&fronts[host], Duration::from_secs(1)) else { continue };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
        let mut wire = Wire::new(stream);
        let body = "seat";
        let request = format!(
            "POST /book/{n} HTTP/1.1\r\nHost: x.example\r\nX-Coveproxy-Request-Id: {id}\r\nX-Coveproxy-Deadline-Ms: 1000\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        record.note(format!("client sends {id} to front-{}", host + 1));
        let status = match wire.send(request.as_bytes()) {
            Ok(()) => match wire.head() {
                Ok(Some(head)) => match wire.body(&head) {
                    Ok(_) => Some(head.status()),
                    Err(_) => None,
                },
                _ => None,
            },
            Err(_) => None,
        };
        record.note(format!("client has {status:?} for {id}"));
        return Sent { id, host, at, end: record.now(), status, connected: true };
    }
    Sent { id, host: first, at: record.now(), end: record.now(), status: None, connected: false }
}
