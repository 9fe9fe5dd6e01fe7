//! Case: hosts hang while the only worker of a stream's software version wants rest, as the stream is taken up there.

use crate::kit::*;
use std::{
    io::Write,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Requests that a worker works on at once, and the few more that it queues.
const SLOTS: u32 = 32;
const QUEUE: u32 = 4;

const STREAM_CLIENTS: usize = 60;
const READ_CLIENTS: usize = 18;
const EVENTS: u64 = 40;
const EVENT_TIME: Duration = Duration::from_millis(50);
const STREAM_DEADLINE: Duration = Duration::from_millis(15_000);

/// Time-out of the route for reads, and time after it by which an answer must have come.
const TIMEOUT: Duration = Duration::from_millis(1_500);
const SLACK: Duration = Duration::from_millis(500);

/// Times from the start of traffic: the last worker of the old version wants rest, for so long; connections are reset; traffic
/// ends.
const RESTS_AT: Duration = Duration::from_millis(5_800);
const REST: Duration = Duration::from_millis(8_000);
const RESET_AT: Duration = Duration::from_millis(6_000);
const TRAFFIC: Duration = Duration::from_millis(20_000);

/// Share of the connections of one machine of three that are reset.
const RESET: f64 = 0.55;

/// A plain worker: reads, and streams that may be resumed.
#[derive(Default)]
struct Plain {
    /// Requests that are here, and those that run.
    present: Mutex<(u32, u32)>,
    freed: Condvar,
    rests_until: Mutex<Option<Instant>>,
}

impl Work for Plain {
    fn serve(&self, worker: &Worker, request: &Request, wire: &mut Wire, _: &mut Connection) -> bool {
        let id = request.header("x-coveproxy-request-id");
        let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let rest = self.rests_until.lock().unwrap().map(|until| until.saturating_duration_since(Instant::now()));
        if let Some(rest) = rest.filter(|rest| *rest > Duration::ZERO) {
            worker.record.note(format!("turned away {id} {} ({}), which rests", worker.id, worker.software));
            let rest = format!("{:.2}", rest.as_secs_f64());
            let head = [
                ("X-Coveproxy-Request-Id", id.as_str()),
                ("X-Coveproxy-Not-Executed", "1"),
                ("Retry-After", rest.as_str()),
            ];
            return wire.stream.write_all(&whole(503, &head, b"")).is_ok();
        }
        let mut present = self.present.lock().unwrap();
        if present.0 >= SLOTS + QUEUE {
            drop(present);
            worker.record.note(format!("turned away {id} {} ({})", worker.id, worker.software));
            let head = [("X-Coveproxy-Request-Id", id.as_str()), ("X-Coveproxy-Not-Executed", "1")];
            return wire.stream.write_all(&whole(503, &head, b"")).is_ok();
        }
        present.0 += 1;
        while present.1 >= SLOTS {
            present = self.freed.wait(present).unwrap();
        }
        present.1 += 1;
        drop(present);
        worker.record.note(format!("run {id} {} ({}) after event {after}", worker.id, worker.software));
        let goes_on = match request.path.starts_with("/read/") {
            true => read(&id, wire),
            false => stream(worker, &id, after, wire),
        };
        let mut present = self.present.lock().unwrap();
        present.0 -= 1;
        present.1 -= 1;
        drop(present);
        self.freed.notify_one();
        goes_on
    }

    fn fields(&self) -> String {
        String::new()
    }
}

fn read(id: &str, wire: &mut Wire) -> bool {
    thread::sleep(ms(20 + random() % 20));
    let stamp = format!("stamp.{id}");
    let head = [("X-Coveproxy-Request-Id", id), ("X-Coveproxy-Response-Stamp", &stamp)];
    wire.stream.write_all(&whole(200, &head, format!("done {id}").as_bytes())).is_ok()
}

fn stream(worker: &Worker, id: &str, after: u64, wire: &mut Wire) -> bool {
    let mut text = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Coveproxy-Request-Id: {id}\r\n\
         X-Coveproxy-Response-Stamp: stamp.{id}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    for event in after + 1..=EVENTS {
        thread::sleep(EVENT_TIME);
        let piece = format!("id: {event}\ndata: {} event {event}\n\n", worker.software);
        text += &format!("{:x}\r\n{piece}\r\n", piece.len());
        // It drops a request when its connection closes.
        if wire.stream.write_all(text.as_bytes()).is_err() {
            return false;
        }
        text.clear();
    }
    wire.stream.write_all(b"0\r\n\r\n").is_ok()
}

fn config() -> String {
    let route = |name: &str, kind: &str, timeout: u64, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"h.example\",\"pathPrefix\":\"/{name}/\",\"routeType\":\"{kind}\",\"timeoutMs\":{timeout},\
             \"targetLatencyMs\":800,\"priority\":1,\"service\":\"{service}\",\"maxAttempts\":2,\"resumable\":{},\"gapAimMs\":250}}",
            kind == "streaming"
        )
    };
    let service = |name: &str| {
        format!("{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":360,\"protocol\":\"h1\",\"tls\":false}}")
    };
    format!(
        "{{\"version\":3,\"routes\":[{},{}],\"services\":[{},{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        route("notes", "streaming", 15_000, "notes-app"),
        route("read", "safe", 1_500, "read-app"),
        service("notes-app"),
        service("read-app")
    )
}

/// A read, and how long its client waited for the answer or without one.
struct Read {
    host: usize,
    status: u16,
    waited: Duration,
}

/// Has streams one after the other; one that breaks is taken up at another host.
fn have_streams(
    at: usize,
    fronts: &[std::net::SocketAddr],
    begun: Instant,
    record: &Record,
    taken_up: &AtomicUsize,
    trouble: bool,
) {
    let mut host = at % fronts.len();
    while begun.elapsed() < TRAFFIC {
        let (first, sent) = (new_id(), Instant::now());
        let (mut id, mut last) = (first.clone(), 0);
        for _ in 0..4 {
            let mut headers = Vec::new();
            if last > 0 {
                taken_up.fetch_add(1, Ordering::Relaxed);
                headers.push(("Resumes".to_string(), first.clone()));
                headers.push(("Last-Event-Id".to_string(), last.to_string()));
            }
            let left = STREAM_DEADLINE.saturating_sub(sent.elapsed());
            record.note(format!("sent {id} {} stream {first} after event {last}", fronts[host]));
            // Connections of the first host are reset once.
            let is_hit = trouble && host == 0 && sent < begun + RESET_AT && chance(RESET);
            let goes_on = |_: &[u8]| !(is_hit && begun.elapsed() >= RESET_AT);
            let answer = Client::to(fronts[host]).send(&id, "POST", "/notes/x", &headers, b"a note", left, goes_on);
            let events = events_of(&answer.body);
            let end = if answer.complete { "whole" } else { "broken off" };
            record.note(format!("answered {id} {} with {} events, {end}", answer.status, events.len()));
            if answer.complete && answer.status == 200 {
                break;
            }
            last = events.last().map_or(last, |(event, _)| *event);
            let pause = find(&answer.headers, "retry-after").parse().unwrap_or(0.1);
            thread::sleep(Duration::from_secs_f64(f64::clamp(pause, 0.0, 3.0)));
            host = (host + 1 + (random() % 2) as usize) % fronts.len();
            id = new_id();
            if sent.elapsed() > STREAM_DEADLINE {
                break;
            }
        }
    }
}

pub fn play(folder: &str, trouble: bool) -> i32 {
    let record = Record::new(folder);
    let store = Store::start();
    store.put("op", "config", Some(&config()));
    let start = |service: &str, software: &str| {
        let work = Arc::new(Plain::default());
        Worker::start(service, software, SLOTS, &store, &record, work.clone());
        work
    };
    // A release is under way: one worker of the old version is left.
    let old = start("notes-app", "v1");
    let _others = [start("notes-app", "v2"), start("notes-app", "v2"), start("read-app", "v1"), start("read-app", "v1")];
    let mut site = Site::new(3, &store, &record);
    for at in 0..3 {
        site.start(at);
    }
    site.wait_ready();
    site.end_first_start();
    thread::sleep(ms(4_000));

    let begun = Instant::now();
    let fronts = site.fronts();
    let reads = Arc::new(Mutex::new(Vec::new()));
    let taken_up = Arc::new(AtomicUsize::new(0));
    let mut clients = Vec::new();
    for at in 0..READ_CLIENTS {
        let (reads, record, host, front) = (reads.clone(), record.clone(), at % 3, fronts[at % 3]);
        clients.push(thread::spawn(move || {
            let mut client = Client::to(front);
            while begun.elapsed() < TRAFFIC {
                let (id, sent) = (new_id(), Instant::now());
                record.note(format!("sent {id} {front} read"));
                let answer = client.send(&id, "GET", "/read/x", &[], b"", TIMEOUT, |_| true);
                let waited = sent.elapsed();
                record.note(format!("answered {id} {} after {} ms", answer.status, waited.as_millis()));
                reads.lock().unwrap().push(Read { host, status: answer.status, waited });
                thread::sleep(ms(100));
            }
        }));
    }
    for at in 0..STREAM_CLIENTS {
        let (record, fronts, taken_up) = (record.clone(), fronts.clone(), taken_up.clone());
        clients.push(thread::spawn(move || {
            thread::sleep(ms(at as u64 * 37));
            have_streams(at, &fronts, begun, &record, &taken_up, trouble);
        }));
    }
    thread::sleep((begun + RESTS_AT).saturating_duration_since(Instant::now()));
    *old.rests_until.lock().unwrap() = Some(begun + RESTS_AT + REST);
    record.note("the worker of v1 wants rest".to_string());
    thread::sleep((begun + RESET_AT + ms(1_000)).saturating_duration_since(Instant::now()));
    let used: Vec<f64> = (0..3).map(|at| site.processor_time(at)).collect();
    thread::sleep(ms(2_000));
    for at in 0..3 {
        let ready = site.is_ready(at);
        record.say(format!(
            "host {at}: {:.1} s of processor time from 1 s to 3 s after the resets, {}",
            site.processor_time(at) - used[at],
            if ready { "says that it is ready" } else { "not ready" }
        ));
    }
    for client in clients {
        let _ = client.join();
    }
    site.stop();

    // The machine whose connections were reset is out of touch; the others are in touch all the time.
    let reads = reads.lock().unwrap();
    let in_touch: Vec<&Read> = reads.iter().filter(|read| read.host != 0).collect();
    let of = |host: usize| in_touch.iter().filter(move |read| read.host == host);
    for host in 1..3 {
        record.say(format!(
            "host {host}: {} reads while in touch, {} served, {} without an answer at timeoutMs, {} half a second later",
            of(host).count(),
            of(host).filter(|read| read.status == 200).count(),
            of(host).filter(|read| read.waited >= TIMEOUT).count(),
            of(host).filter(|read| read.waited >= TIMEOUT + SLACK).count(),
        ));
    }
    let late = in_touch.iter().filter(|read| read.waited >= TIMEOUT).count();
    let later = in_touch.iter().filter(|read| read.waited >= TIMEOUT + SLACK).count();
    record.say(format!(
        "{} streams taken up; {late} reads had no answer at timeoutMs, {later} of them none 0.5 s later",
        taken_up.load(Ordering::Relaxed)
    ));
    record.write();
    if in_touch.len() < 30 {
        record.say("no verdict".to_string());
        return 2;
    }
    // A single late answer on a busy machine is no hang.
    i32::from(later > 3 && later * 2 > late)
}
