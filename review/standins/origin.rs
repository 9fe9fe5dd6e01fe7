//! Case: a stream goes on at another version of the workers' software than the one that began it, after all processes were
//! killed while the last worker of that version left.

use crate::kit::*;
use std::{
    collections::BTreeSet,
    io::Write,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const STREAMS: usize = 30;
const EVENTS: u64 = 70;
const EVENT_TIME: Duration = Duration::from_millis(50);
const DEADLINE: Duration = Duration::from_millis(15_000);

/// Streams that may hold events of two versions.
const ALLOWED_MIXED: usize = 2;

/// A leaving worker serves on for `drainMs` and a little longer.
const DRAIN: Duration = Duration::from_millis(2_000);
const LITTLE_LONGER: Duration = Duration::from_millis(400);

/// Times from the first stream on.
const LEAVES_AT: Duration = Duration::from_millis(700);
const KILLED_AT: Duration = Duration::from_millis(2_200);
const DOWN: Duration = Duration::from_millis(1_500);

/// A client whose stream broke takes it up once, after this time.
const RETRY_PAUSE: Duration = Duration::from_millis(2_500);

struct Engine {
    running: AtomicUsize,
}

impl Work for Engine {
    fn serve(&self, worker: &Worker, request: &Request, wire: &mut Wire, _: &mut Connection) -> bool {
        match request.path.as_str() {
            "/report" => {
                let body = format!(
                    "{{\"stage\":\"unified\",\"born\":{}{},\"busy\":false,\"sequence\":0,\"waiting\":0,\"running\":{},\
                     \"kvUsed\":0,\"kvTotal\":131025,\"handles\":0}}",
                    worker.born,
                    self.fields(),
                    self.running.load(Ordering::SeqCst)
                );
                wire.stream.write_all(&whole(200, &[], body.as_bytes())).is_ok()
            }
            "/order" => wire.stream.write_all(&whole(200, &[], b"")).is_ok(),
            _ => {
                self.running.fetch_add(1, Ordering::SeqCst);
                let goes_on = stream(worker, request, wire);
                self.running.fetch_sub(1, Ordering::SeqCst);
                goes_on
            }
        }
    }

    fn fields(&self) -> String {
        ",\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}]".to_string()
    }
}

fn stream(worker: &Worker, request: &Request, wire: &mut Wire) -> bool {
    let id = request.header("x-coveproxy-request-id");
    let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
    worker.record.note(format!("worker {} ({}) runs {id} after event {after}", worker.id, worker.software));
    let mut text = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Coveproxy-Request-Id: {id}\r\n\
         X-Coveproxy-Response-Stamp: stamp.{id}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    for event in after + 1..=EVENTS {
        thread::sleep(EVENT_TIME);
        let piece = format!("id: {event}\ndata: {} event {event}\n\n", worker.software);
        text += &format!("{:x}\r\n{piece}\r\n", piece.len());
        // It drops a request when its connection closes.
        if worker.is_gone() || wire.stream.write_all(text.as_bytes()).is_err() {
            worker.record.note(format!("worker {} drops {id} at event {event}", worker.id));
            return false;
        }
        text.clear();
    }
    wire.stream.write_all(b"0\r\n\r\n").is_ok()
}

fn config() -> String {
    "{\"version\":3,\"routes\":[{\"name\":\"draft\",\"host\":\"h.example\",\"pathPrefix\":\"/draft/\",\"routeType\":\"streaming\",\
     \"timeoutMs\":15000,\"targetLatencyMs\":800,\"priority\":1,\"service\":\"llm\",\"maxAttempts\":2,\"sticky\":true,\
     \"resumable\":true,\"gapAimMs\":250}],\
     \"services\":[{\"name\":\"llm\",\"healthPath\":\"/health\",\"maxConnections\":360,\"protocol\":\"h1\",\"tls\":false,\
     \"engine\":{\"slots\":64,\"kvTokens\":131025,\"models\":[{\"name\":\"m0\",\"weightsMb\":42700.0,\"loadTimeS\":0.6,\
     \"adapters\":0,\"adapterMb\":66.0}],\"weightsMb\":45000.0,\"adapterSlots\":21,\"loadsPerS\":3.3}}],\
     \"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}"
        .to_string()
}

/// A stream as its client got it, over its tries.
#[derive(Debug, Clone, Default)]
struct Seen {
    first: String,
    events: Vec<(u64, String)>,
    tries: Vec<(String, u16, usize, bool)>,
}

impl Seen {
    fn versions(&self) -> BTreeSet<String> {
        set_of(self.events.iter().map(|(_, software)| software.clone()))
    }
}

fn client(front: std::net::SocketAddr, other: std::net::SocketAddr, record: Record) -> Seen {
    let mut seen = Seen::default();
    let begun = Instant::now();
    for attempt in 0..2 {
        let id = new_id();
        let mut headers = vec![
            ("X-Coveproxy-Model".to_string(), "m0".to_string()),
            ("X-Coveproxy-Token-Counts".to_string(), format!("200,{EVENTS}")),
            ("X-Coveproxy-Prompt-Prefix".to_string(), format!("5c1e07a2:100,{:x}:100", random() >> 32)),
        ];
        if attempt == 0 {
            seen.first = id.clone();
        } else if let Some((last, _)) = seen.events.last() {
            headers.push(("Resumes".to_string(), seen.first.clone()));
            headers.push(("Last-Event-Id".to_string(), last.to_string()));
        }
        let to = if attempt == 0 { front } else { other };
        let left = DEADLINE.saturating_sub(begun.elapsed());
        let after = seen.events.last().map_or(0, |(last, _)| *last);
        record.note(format!("client sends {id} to {to}, after event {after} of {}", seen.first));
        let answer = Client::to(to).send(&id, "POST", "/draft/x", &headers, b"a prompt", left, |_| true);
        let events = events_of(&answer.body);
        record.note(format!(
            "client gets {} for {id}: events {:?} to {:?} of software {:?}, {}",
            answer.status,
            events.first().map(|(id, _)| *id),
            events.last().map(|(id, _)| *id),
            set_of(events.iter().map(|(_, software)| software.clone())),
            if answer.complete { "whole" } else { "broken off" },
        ));
        seen.tries.push((id, answer.status, events.len(), answer.complete));
        if answer.status == 200 {
            seen.events.extend(events);
        }
        if answer.complete && answer.status == 200 {
            return seen;
        }
        thread::sleep(RETRY_PAUSE);
    }
    seen
}

pub fn play(folder: &str, trouble: bool) -> i32 {
    let record = Record::new(folder);
    let store = Store::start();
    store.put("op", "config", Some(&config()));
    let start = |software: &str| {
        let engine = Arc::new(Engine { running: AtomicUsize::new(0) });
        (Worker::start("llm", software, 64, &store, &record, engine.clone()), engine)
    };
    let (last, its_engine) = start("v1");
    let _others = [start("v2"), start("v2")];
    let mut site = Site::new(3, &store, &record);
    for at in 0..3 {
        site.start(at);
    }
    site.wait_ready();
    site.end_first_start();
    thread::sleep(ms(3_000));

    let begun = Instant::now();
    let fronts = site.fronts();
    let streams = Arc::new(Mutex::new(Vec::new()));
    let sending: Vec<_> = (0..STREAMS)
        .map(|at| {
            let (record, streams) = (record.clone(), streams.clone());
            let (front, other) = (fronts[at % 3], fronts[(at + 1) % 3]);
            thread::spawn(move || {
                thread::sleep(ms(at as u64 * 15));
                let seen = client(front, other, record);
                streams.lock().unwrap().push(seen);
            })
        })
        .collect();
    // The last worker of the old version leaves by plan, as the release is over.
    let leaving = {
        let last = last.clone();
        thread::spawn(move || {
            thread::sleep((begun + LEAVES_AT).saturating_duration_since(Instant::now()));
            last.drain();
            thread::sleep(DRAIN + LITTLE_LONGER);
            while its_engine.running.load(Ordering::SeqCst) > 0 && begun.elapsed() < ms(9_000) {
                thread::sleep(ms(20));
            }
            last.end();
        })
    };
    if trouble {
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
    }
    for client in sending {
        let _ = client.join();
    }
    let _ = leaving.join();
    site.stop();

    let streams = streams.lock().unwrap().clone();
    let begun = streams.iter().filter(|seen| !seen.events.is_empty()).count();
    let taken_up = streams.iter().filter(|seen| seen.tries.len() > 1).count();
    let mixed: Vec<&Seen> = streams.iter().filter(|seen| seen.versions().len() > 1).collect();
    for seen in &mixed {
        let parts: Vec<String> = seen
            .versions()
            .iter()
            .map(|software| {
                let of: Vec<u64> = seen.events.iter().filter(|(_, by)| by == software).map(|(id, _)| *id).collect();
                format!("events {} to {} by software {software}", of[0], of[of.len() - 1])
            })
            .collect();
        record.say(format!("ORDER: stream {} holds {}", seen.first, parts.join(", ")));
    }
    let refused = streams.iter().filter(|seen| seen.tries.last().is_some_and(|last| last.1 == 503)).count();
    record.say(format!(
        "{begun} streams begun, {taken_up} taken up, {} hold events of two software versions ({ALLOWED_MIXED} may), {refused} were refused at last",
        mixed.len()
    ));
    record.write();
    if begun < STREAMS / 2 {
        record.say("too few streams began for a verdict".to_string());
        return 2;
    }
    i32::from(mixed.len() > ALLOWED_MIXED)
}
