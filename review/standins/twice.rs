//! Case: a request that may run once is run twice, as a worker's second answer to it is taken for its answer when it is sent
//! to that worker again.

use crate::kit::*;
use std::{
    collections::BTreeMap,
    io::Write,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Requests that a worker works on at once, and the few more that it queues.
const SLOTS: u32 = 6;
const QUEUE: u32 = 2;

/// Share of the answers of a garbling worker that are followed by a second one, and the time for which it garbles.
const GARBLED: f64 = 0.03;
const GARBLES_FOR: Duration = Duration::from_millis(5_000);

/// It begins to garble at this time after the start of traffic, and so often, with this time from one begin to the next.
const FIRST: Duration = Duration::from_millis(4_000);
const PERIODS: u32 = 12;
const EACH: Duration = Duration::from_millis(6_000);

const TRAFFIC: Duration = Duration::from_millis(78_000);
const DEADLINE: Duration = Duration::from_millis(1_500);

/// Time on the way between zones, one way.
const ONE_WAY: Duration = Duration::from_micros(900);

struct Plain {
    present: Mutex<(u32, u32)>,
    freed: Condvar,
    garbles: Arc<AtomicBool>,
    runs: Arc<Mutex<BTreeMap<String, Vec<String>>>>,
    rejected: Arc<AtomicU64>,
    garbled: Arc<AtomicU64>,
}

impl Work for Plain {
    fn serve(&self, worker: &Worker, request: &Request, wire: &mut Wire, connection: &mut Connection) -> bool {
        let id = request.header("x-coveproxy-request-id");
        thread::sleep(ONE_WAY);
        // A surplus answer arrives late, in the slot where the next answer is due.
        let surplus = std::mem::take(&mut connection.pending);
        if !surplus.is_empty() {
            worker.record.note(format!("second answer goes out as {id} arrives {}", worker.id));
            if wire.stream.write_all(&surplus).is_err() {
                return false;
            }
        }
        let has_room = {
            let mut present = self.present.lock().unwrap();
            let has_room = present.0 < SLOTS + QUEUE;
            if has_room {
                present.0 += 1;
            }
            has_room
        };
        let answer = match has_room {
            true => self.run(worker, &id),
            false => {
                self.rejected.fetch_add(1, Ordering::Relaxed);
                worker.record.note(format!("turned away {id} {}", worker.id));
                whole(503, &[("X-Coveproxy-Request-Id", &id), ("X-Coveproxy-Not-Executed", "1")], b"")
            }
        };
        if self.garbles.load(Ordering::SeqCst) && chance(GARBLED) {
            self.garbled.fetch_add(1, Ordering::Relaxed);
            worker.record.note(format!("second answer to {id} {} will come", worker.id));
            connection.pending = answer.clone();
        }
        thread::sleep(ONE_WAY);
        wire.stream.write_all(&answer).is_ok()
    }

    fn fields(&self) -> String {
        String::new()
    }
}

impl Plain {
    fn run(&self, worker: &Worker, id: &str) -> Vec<u8> {
        let mut present = self.present.lock().unwrap();
        while present.1 >= SLOTS {
            present = self.freed.wait(present).unwrap();
        }
        present.1 += 1;
        drop(present);
        worker.record.note(format!("run {id} {}", worker.id));
        self.runs.lock().unwrap().entry(id.to_string()).or_default().push(worker.id.clone());
        thread::sleep(ms(20 + random() % 20));
        let mut present = self.present.lock().unwrap();
        present.0 -= 1;
        present.1 -= 1;
        drop(present);
        self.freed.notify_one();
        let stamp = format!("stamp.{id}");
        let head = [("X-Coveproxy-Request-Id", id), ("X-Coveproxy-Response-Stamp", &stamp), ("Keep-Alive", "timeout=5")];
        whole(200, &head, format!("done {id}").as_bytes())
    }
}

/// Services of the site, each with so many workers, of which one garbles, and with so many clients.
const SERVICES: usize = 2;
const WORKERS: usize = 2;
const CLIENTS: usize = 40;

fn config() -> String {
    let routes = (0..SERVICES).map(|at| {
        format!(
            "{{\"name\":\"order-{at}\",\"host\":\"h.example\",\"pathPrefix\":\"/order-{at}/\",\"routeType\":\"unsafe\",\
             \"timeoutMs\":1500,\"targetLatencyMs\":150,\"priority\":2,\"service\":\"app-{at}\",\"maxAttempts\":1}}"
        )
    });
    let services = (0..SERVICES).map(|at| {
        format!(
            "{{\"name\":\"app-{at}\",\"healthPath\":\"/health\",\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false}}"
        )
    });
    let (routes, services): (Vec<String>, Vec<String>) = (routes.collect(), services.collect());
    format!(
        "{{\"version\":3,\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

pub fn play(folder: &str, trouble: bool) -> i32 {
    let record = Record::new(folder);
    let store = Store::start();
    store.put("op", "config", Some(&config()));
    let runs = Arc::new(Mutex::new(BTreeMap::new()));
    let (rejected, garbled) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut garbles = Vec::new();
    for at in 0..SERVICES * WORKERS {
        let flag = Arc::new(AtomicBool::new(false));
        if at % WORKERS == 0 {
            garbles.push(flag.clone());
        }
        let work = Plain {
            present: Mutex::default(),
            freed: Condvar::new(),
            garbles: flag,
            runs: runs.clone(),
            rejected: rejected.clone(),
            garbled: garbled.clone(),
        };
        Worker::start(&format!("app-{}", at / WORKERS), "v1", SLOTS, &store, &record, Arc::new(work));
    }
    let mut site = Site::new(3, &store, &record);
    for at in 0..3 {
        site.start(at);
    }
    site.wait_ready();
    site.end_first_start();
    thread::sleep(ms(1_500));
    let begun = Instant::now();
    let answers = Arc::new(Mutex::new(Vec::new()));
    let fronts = site.fronts();
    let sending: Vec<_> = (0..SERVICES * CLIENTS)
        .map(|at| {
            let (answers, record, front) = (answers.clone(), record.clone(), fronts[at % fronts.len()]);
            let path = format!("/order-{}/x", at % SERVICES);
            thread::spawn(move || {
                let mut client = Client::to(front);
                while begun.elapsed() < TRAFFIC {
                    let id = new_id();
                    record.note(format!("sent {id} {front}"));
                    let answer = client.send(&id, "POST", &path, &[], b"an order", DEADLINE, |_| true);
                    record.note(format!("answered {id} {}", answer.status));
                    let pause = find(&answer.headers, "retry-after").parse().unwrap_or(0.0);
                    answers.lock().unwrap().push(answer);
                    thread::sleep(Duration::from_secs_f64(f64::clamp(pause, 0.0, 0.5)));
                    thread::sleep(ms(random() % 12));
                }
            })
        })
        .collect();
    if trouble {
        for period in 0..PERIODS {
            thread::sleep((begun + FIRST + EACH * period).saturating_duration_since(Instant::now()));
            garbles.iter().for_each(|flag| flag.store(true, Ordering::SeqCst));
            thread::sleep(GARBLES_FOR);
            garbles.iter().for_each(|flag| flag.store(false, Ordering::SeqCst));
        }
    }
    for client in sending {
        let _ = client.join();
    }
    thread::sleep(ms(500));
    site.stop();
    let runs = runs.lock().unwrap().clone();
    let answers = answers.lock().unwrap().clone();
    let twice: Vec<(&String, &Vec<String>)> = runs.iter().filter(|(_, at)| at.len() > 1).collect();
    for (id, at) in &twice {
        let status = answers.iter().find(|answer| answer.id == **id).map_or(0, |answer| answer.status);
        record.say(format!("TWICE: {id} was run {} times, at {at:?}; its client got {status}", at.len()));
    }
    let mut refused = 0;
    for answer in answers.iter().filter(|answer| promises_not_run(answer.status)) {
        if runs.contains_key(&answer.id) {
            refused += 1;
            record.say(format!("REFUSED: {} got {} and has run", answer.id, answer.status));
        }
    }
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    record.say(format!(
        "{} requests, {served} served, {} rejections by workers, {} answers with a second one; {} run twice, {refused} called not run and run",
        answers.len(),
        rejected.load(Ordering::Relaxed),
        garbled.load(Ordering::Relaxed),
        twice.len(),
    ));
    record.write();
    if served < answers.len() / 4 || served < 200 {
        record.say("too few were served for a verdict".to_string());
        return 2;
    }
    i32::from(!twice.is_empty() || refused > 0)
}
