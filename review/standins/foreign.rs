//! Case: after the final fault nothing is served any more, as another writer has written one entry under each worker's key,
//! although the workers have written their own entries anew since.

use crate::kit::*;
use std::{
    io::Write,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

const WORKERS: usize = 3;
const CLIENTS: usize = 6;
const DEADLINE: Duration = Duration::from_millis(1_500);

/// Traffic starts so long after the machines do.
const LEAD: Duration = Duration::from_millis(10_000);

/// Times from the start of traffic: the final fault, for which all processes are down so long; the other writer's entries;
/// the end of traffic.
const KILLED_AT: Duration = Duration::from_millis(10_000);
const DOWN: Duration = Duration::from_millis(700);
const WRITTEN_AT: Duration = Duration::from_millis(14_000);
const TRAFFIC: Duration = Duration::from_millis(45_000);

/// `recoverS`.
const RECOVER: Duration = Duration::from_millis(12_000);

struct Plain;

impl Work for Plain {
    fn serve(&self, worker: &Worker, request: &Request, wire: &mut Wire, _: &mut Connection) -> bool {
        let id = request.header("x-coveproxy-request-id");
        worker.record.note(format!("run {id} {}", worker.id));
        thread::sleep(ms(20 + random() % 20));
        let stamp = format!("stamp.{id}");
        let head = [("X-Coveproxy-Request-Id", id.as_str()), ("X-Coveproxy-Response-Stamp", &stamp), ("Keep-Alive", "timeout=5")];
        wire.stream.write_all(&whole(200, &head, format!("done {id}").as_bytes())).is_ok()
    }

    fn fields(&self) -> String {
        String::new()
    }
}

fn config() -> String {
    let route = |name: &str, kind: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"h.example\",\"pathPrefix\":\"/{name}/\",\"routeType\":\"{kind}\",\"timeoutMs\":1500,\
             \"targetLatencyMs\":150,\"priority\":2,\"service\":\"app\",\"maxAttempts\":1}}"
        )
    };
    format!(
        "{{\"version\":3,\"routes\":[{},{}],\
         \"services\":[{{\"name\":\"app\",\"healthPath\":\"/health\",\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        route("manifest", "unsafe"),
        route("checksum", "safe")
    )
}

pub fn play(folder: &str, trouble: bool) -> i32 {
    let record = Record::new(folder);
    let store = Store::start();
    store.put("op", "config", Some(&config()));
    let workers: Vec<Worker> =
        (0..WORKERS).map(|_| Worker::start("app", "v1", 6, &store, &record, Arc::new(Plain))).collect();
    let mut site = Site::new(3, &store, &record);
    for at in 0..3 {
        site.start(at);
    }
    let started = Instant::now();
    site.wait_ready();
    site.end_first_start();
    thread::sleep((started + LEAD).saturating_duration_since(Instant::now()));
    let begun = Instant::now();
    let answers = Arc::new(Mutex::new(Vec::new()));
    let fronts = site.fronts();
    let sending: Vec<_> = (0..CLIENTS)
        .map(|at| {
            let (answers, record, front) = (answers.clone(), record.clone(), fronts[at % 3]);
            thread::spawn(move || {
                let mut client = Client::to(front);
                let mut number = at;
                while begun.elapsed() < TRAFFIC {
                    let (id, sent) = (new_id(), Instant::now());
                    number += 1;
                    let (method, path) = [("POST", "/manifest/x"), ("GET", "/checksum/x")][number % 2];
                    let body: &[u8] = if method == "POST" { b"an order" } else { b"" };
                    record.note(format!("sent {id} {front} {method}"));
                    let answer = client.send(&id, method, path, &[], body, DEADLINE, |_| true);
                    record.note(format!(
                        "answered {id} {} {}",
                        answer.status,
                        if answer.status == 200 { String::new() } else { String::from_utf8_lossy(&answer.body).to_string() }
                    ));
                    let pause = find(&answer.headers, "retry-after").parse().unwrap_or(0.0);
                    answers.lock().unwrap().push((sent, answer));
                    thread::sleep(Duration::from_secs_f64(f64::clamp(pause, 0.0, 0.5)));
                    thread::sleep(ms(100));
                }
            })
        })
        .collect();
    // The final fault.
    thread::sleep((begun + KILLED_AT).saturating_duration_since(Instant::now()));
    for at in 0..3 {
        site.signal(at, 9);
    }
    for at in 0..3 {
        site.reap(at);
    }
    thread::sleep(DOWN);
    for at in 0..3 {
        site.start(at);
    }
    let back = Instant::now();
    thread::sleep((begun + WRITTEN_AT).saturating_duration_since(Instant::now()));
    if trouble {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        for worker in &workers {
            let entry = format!(
                "{{\"service\":\"nobody-knows\",\"address\":\"127.0.0.1:9\",\"zone\":\"pdx-a\",\"version\":\"v1\",\"slots\":6,\
                 \"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":0,\"born\":{born}}}"
            );
            store.put("servers", &worker.id, Some(&entry));
            record.note(format!("another writer writes servers/{}: {entry}", worker.id));
        }
    }
    for client in sending {
        let _ = client.join();
    }
    // Each worker lives, and answers its health check with its own id.
    let mut sound = 0;
    for worker in &workers {
        if let Ok(stream) = std::net::TcpStream::connect_timeout(&worker.address, ms(500)) {
            let mut wire = Wire::new(stream);
            let _ = wire.stream.write_all(b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n");
            sound += usize::from(wire.line().is_some_and(|line| line.contains(" 200")));
        }
        record.note(format!("worker {} has written its own entry {} times", worker.id, worker.beats()));
    }
    site.stop();
    let answers = answers.lock().unwrap();
    let is_served = |answer: &Answer| answer.status == 200 && answer.complete;
    let share = |from: Instant, to: Instant| {
        let of: Vec<&Answer> =
            answers.iter().filter(|(sent, _)| *sent >= from && *sent < to).map(|(_, answer)| answer).collect();
        (of.iter().filter(|answer| is_served(answer)).count(), of.len())
    };
    let before = share(begun, begun + KILLED_AT);
    let between = share(back + ms(1_000), begun + WRITTEN_AT);
    let after = share(back + RECOVER, begun + TRAFFIC);
    record.say(format!(
        "served: {} of {} before the final fault, {} of {} from 1 s after it until the other writer wrote, {} of {} sent later \
         than 12 s after the machines were back; {sound} of {WORKERS} workers are sound",
        before.0, before.1, between.0, between.1, after.0, after.1
    ));
    if sound < WORKERS || after.1 < 20 || before.1 < 20 {
        record.say("no verdict".to_string());
        record.write();
        return 2;
    }
    let is_broken = before.0 * 4 >= before.1 && after.0 * 4 < after.1;
    if is_broken {
        record.say("RECOVER: less than a quarter is served".to_string());
    }
    record.write();
    i32::from(is_broken)
}
