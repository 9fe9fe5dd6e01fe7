//! After a final fault another writer writes a few entries under each worker's key, with a service that no configuration names.

mod plain;
mod site;

use plain::Plain;
use site::{unix_ms, Record, Site, SitePlan, Store, Wire};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const RECOVER: Duration = Duration::from_secs(12);

fn main() {
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = Record::new();
    let store = Store::start();
    let config = |version: u32| {
        format!("{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"x.example\",\"pathPrefix\":\"/book/\",\"routeType\":\"safe\",\"timeoutMs\":1000,\"targetLatencyMs\":150,\"priority\":2,\"service\":\"booking\",\"maxAttempts\":2,\"resumable\":false}}],\"services\":[{{\"name\":\"booking\",\"healthPath\":\"/health\",\"maxConnections\":96,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}")
    };
    store.write("op", "config", &config(1));
    let workers: Vec<Plain> = (0..4)
        .map(|n| Plain::start(&store, "booking", &format!("i-{n}"), Duration::from_millis(30), &record))
        .collect();
    let plan = SitePlan { hosts: 3, more_bounds: String::new(), first_start: true };
    let mut site = Site::start(&plan, store.clone());
    if !site.wait_ready(Duration::from_secs(15)) {
        site.stop();
        std::process::exit(2);
    }
    thread::sleep(Duration::from_secs(3));
    let fronts: Vec<SocketAddr> = site.hosts.iter().map(|h| h.front()).collect();
    let over = Arc::new(AtomicBool::new(false));
    let number = Arc::new(AtomicU64::new(0));
    let sent: Arc<Mutex<Vec<(Duration, u16)>>> = Arc::default();
    let traffic = {
        let (fronts, over, sent, record) = (fronts.clone(), over.clone(), sent.clone(), record.clone());
        thread::spawn(move || {
            while !over.load(Ordering::SeqCst) {
                let n = number.fetch_add(1, Ordering::SeqCst);
                let (fronts, sent, record) = (fronts.clone(), sent.clone(), record.clone());
                thread::spawn(move || {
                    let at = record.now();
                    let status = send(&fronts, n, &record);
                    sent.lock().unwrap().push((at, status));
                });
                thread::sleep(Duration::from_millis(50));
            }
        })
    };
    thread::sleep(Duration::from_secs(8));
    let fault = record.now();
    store.write("op", "config", &config(2));
    record.note("configuration 2 is acknowledged; all processes are killed");
    for host in &mut site.hosts {
        host.kill();
    }
    thread::sleep(Duration::from_secs(1));
    for host in &mut site.hosts {
        host.start();
    }
    let back = record.now();
    record.note("all processes are started");
    thread::sleep(Duration::from_secs(2));
    // The worker's own entry comes each 1.2 s: of three, some stand for a moment.
    for _ in 0..3 {
        if !trouble {
            break;
        }
        for worker in &workers {
            let body = format!(
                "{{\"service\":\"no-such-service\",\"address\":\"{}\",\"zone\":\"hall-0\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":0,\"born\":{}}}",
                worker.address,
                unix_ms()
            );
            store.write("servers", &worker.id, &body);
            record.note(format!("another writer writes servers/{}: {body}", worker.id));
        }
        thread::sleep(Duration::from_millis(700));
    }
    let until = Instant::now() + Duration::from_secs(30);
    while Instant::now() < until {
        thread::sleep(Duration::from_millis(50));
    }
    over.store(true, Ordering::SeqCst);
    let _ = traffic.join();
    thread::sleep(Duration::from_millis(1500));
    site.stop();
    let sent = sent.lock().unwrap();
    let count = |from: Duration, to: Duration| {
        let all: Vec<u16> = sent.iter().filter(|(at, _)| *at >= from && *at < to).map(|(_, s)| *s).collect();
        (all.iter().filter(|s| **s == 200).count(), all.len())
    };
    let end = record.now();
    let (before, between, after) =
        (count(Duration::ZERO, fault), count(back + Duration::from_secs(1), back + Duration::from_secs(2)), count(back + RECOVER, end));
    let share = |(served, all): (usize, usize)| served as f64 / all.max(1) as f64;
    let broken = share(before) >= 0.25 && share(after) < 0.25;
    let text = format!(
        "served before the final fault {}/{}, in the second before the entries {}/{}, later than {} s after the machines were back {}/{}; broken: {broken}",
        before.0, before.1, between.0, between.1, RECOVER.as_secs(), after.0, after.1
    );
    record.note(text.clone());
    println!("{text}");
    let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_string());
    record.write(&path);
    std::process::exit(i32::from(broken));
}

fn send(fronts: &[SocketAddr], n: u64, record: &Record) -> u16 {
    let id = format!("{:016x}", 0x9c41_0000_0000_0000u64 + n);
    let host = (n % fronts.len() as u64) as usize;
    let status = (|| {
        let stream = TcpStream::connect_timeout(&fronts[host], Duration::from_secs(1)).ok()?;
        let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
        let mut wire = Wire::new(stream);
        let request = format!(
            "GET /book/{n} HTTP/1.1\r\nHost: x.example\r\nX-Coveproxy-Request-Id: {id}\r\nX-Coveproxy-Deadline-Ms: 1000\r\n\r\n"
        );
        wire.send(request.as_bytes()).ok()?;
        let head = wire.head().ok()??;
        wire.body(&head).ok()?;
        Some(head.status())
    })()
    .unwrap_or(0);
    record.note(format!("client has {status} for {id}, sent to front-{}", host + 1));
    status
}
