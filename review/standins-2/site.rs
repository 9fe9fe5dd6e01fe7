//! A small site on loopback for the cases of this review: the platform's store, plain and model workers and
//! clients in this process, hosts as real processes. Standard library alone.

use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---------------------------------------------------------------- JSON

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = Self::value(bytes, &mut at)?;
        Some(value)
    }

    fn space(bytes: &[u8], at: &mut usize) {
        while bytes.get(*at).is_some_and(|b| b.is_ascii_whitespace()) {
            *at += 1;
        }
    }

    fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
        Self::space(bytes, at);
        match *bytes.get(*at)? {
            b'{' => {
                *at += 1;
                let mut map = Vec::new();
                loop {
                    Self::space(bytes, at);
                    if *bytes.get(*at)? == b'}' {
                        *at += 1;
                        return Some(Json::Map(map));
                    }
                    if *bytes.get(*at)? == b',' {
                        *at += 1;
                        continue;
                    }
                    let Json::Text(key) = Self::value(bytes, at)? else { return None };
                    Self::space(bytes, at);
                    if *bytes.get(*at)? != b':' {
                        return None;
                    }
                    *at += 1;
                    map.push((key, Self::value(bytes, at)?));
                }
            }
            b'[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Self::space(bytes, at);
                    match *bytes.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Json::List(list));
                        }
                        b',' => *at += 1,
                        _ => list.push(Self::value(bytes, at)?),
                    }
                }
            }
            b'"' => {
                *at += 1;
                let mut text = Vec::new();
                loop {
                    match *bytes.get(*at)? {
                        b'"' => {
                            *at += 1;
                            return String::from_utf8(text).ok().map(Json::Text);
                        }
                        b'\\' => {
                            let next = *bytes.get(*at + 1)?;
                            text.push(match next {
                                b'n' => b'\n',
                                b't' => b'\t',
                                other => other,
                            });
                            *at += 2;
                        }
                        other => {
                            text.push(other);
                            *at += 1;
                        }
                    }
                }
            }
            b't' => {
                *at += 4;
                Some(Json::Bool(true))
            }
            b'f' => {
                *at += 5;
                Some(Json::Bool(false))
            }
            b'n' => {
                *at += 4;
                Some(Json::Null)
            }
            _ => {
                let start = *at;
                while bytes.get(*at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                    *at += 1;
                }
                std::str::from_utf8(&bytes[start..*at]).ok()?.parse().ok().map(Json::Number)
            }
        }
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Map(map) => map.iter().find(|(k, _)| k == key).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self, key: &str) -> Option<&str> {
        match self.get(key)? {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self, key: &str) -> Option<u64> {
        match self.get(key)? {
            Json::Number(n) => Some(*n as u64),
            _ => None,
        }
    }

    pub fn list(&self, key: &str) -> &[Json] {
        match self.get(key) {
            Some(Json::List(list)) => list,
            _ => &[],
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(ALPHABET[((n >> (18 - 6 * i)) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

// ---------------------------------------------------------------- HTTP

#[derive(Debug, Clone)]
pub struct Head {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
}

/// A connection with what was read ahead of it.
pub struct Wire {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0u8; 16 * 1024];
        let size = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..size]);
        Ok(size)
    }

    /// `Ok(None)`: the other side closed before a head began.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).to_string();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or("").to_string();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(n, v)| (n.trim().to_string(), v.trim().to_string()))
                    .collect();
                return Ok(Some(Head { first, headers }));
            }
            if self.fill()? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    pub fn take(&mut self, size: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < size {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..size).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).to_string();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// One chunk; `None` at the end of the body.
    pub fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.line()?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        if size == 0 {
            while !self.line()?.is_empty() {}
            return Ok(None);
        }
        let data = self.take(size)?;
        self.take(2)?;
        Ok(Some(data))
    }

    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let chunked = head
            .header("transfer-encoding")
            .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
        if chunked {
            let mut body = Vec::new();
            while let Some(chunk) = self.chunk()? {
                body.extend(chunk);
            }
            return Ok(body);
        }
        let size = head.header("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
        self.take(size)
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Nothing has come, and the other side has not closed.
    pub fn is_open(&mut self) -> bool {
        if !self.buffer.is_empty() {
            return true;
        }
        let _ = self.stream.set_nonblocking(true);
        let mut byte = [0u8; 1];
        let open = match self.stream.peek(&mut byte) {
            Ok(0) => false,
            Ok(_) => true,
            Err(e) => e.kind() == io::ErrorKind::WouldBlock,
        };
        let _ = self.stream.set_nonblocking(false);
        open
    }
}

pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

// ---------------------------------------------------------------- log

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { start: Instant::now(), lines: Arc::default() }
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn note(&self, text: impl Into<String>) {
        self.lines.lock().unwrap().push((self.start.elapsed(), text.into()));
    }

    pub fn write(&self, path: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines
            .iter()
            .map(|(at, text)| format!("{:9.3} {text}\n", at.as_secs_f64()))
            .collect();
        let _ = fs::write(path, text);
    }
}

// ---------------------------------------------------------------- store

#[derive(Default)]
struct Rows {
    rows: BTreeMap<(String, String), (u64, Option<String>)>,
    version: u64,
    era: u32,
}

impl Rows {
    fn put(&mut self, table: &str, key: &str, value: Option<String>) -> u64 {
        self.version += 1;
        let version = self.version;
        self.rows.insert((table.to_string(), key.to_string()), (version, value));
        version
    }

    fn row_json(&self, table: &str, key: &str) -> String {
        match self.rows.get(&(table.to_string(), key.to_string())) {
            Some((version, Some(value))) => format!(
                "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"value\":\"{value}\",\"ver\":{version}}}"
            ),
            Some((version, None)) => format!(
                "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"gone\":true,\"ver\":{version}}}"
            ),
            None => String::new(),
        }
    }
}

/// The platform's store: linearizable, no disruption but those that a case sets.
#[derive(Clone)]
pub struct Store {
    rows: Arc<Mutex<Rows>>,
    pub address: SocketAddr,
    pub start: Instant,
    /// Calls are turned away with 503.
    pub is_down: Arc<AtomicBool>,
}

fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("20");
            out.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).to_string()
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            rows: Arc::default(),
            address: listener.local_addr().unwrap(),
            start: Instant::now(),
            is_down: Arc::default(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(Wire::new(stream)));
            }
        });
        store
    }

    /// Writes a row as the operator or a worker does.
    pub fn write(&self, table: &str, key: &str, value: &str) -> u64 {
        self.rows.lock().unwrap().put(table, key, Some(base64(value.as_bytes())))
    }

    pub fn remove(&self, table: &str, key: &str) -> u64 {
        self.rows.lock().unwrap().put(table, key, None)
    }

    fn serve(self, mut wire: Wire) {
        while let Ok(Some(head)) = wire.head() {
            let Ok(body) = wire.body(&head) else { return };
            thread::sleep(Duration::from_millis(4));
            let reply = match self.is_down.load(Ordering::SeqCst) {
                true => answer("503 Service Unavailable", &[], b""),
                false => self.reply(&head, &body),
            };
            if wire.send(&reply).is_err() {
                return;
            }
        }
    }

    fn reply(&self, head: &Head, body: &[u8]) -> Vec<u8> {
        let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(k, v)| (k.to_string(), decoded(v)))
            .collect();
        let now_ms = self.start.elapsed().as_millis();
        let mut rows = self.rows.lock().unwrap();
        let era = rows.era.to_string();
        let mut headers = vec![("Content-Type", "application/json")];
        if rows.era > 0 {
            headers.push(("Store-Era", era.as_str()));
        }
        let table = query.get("table").cloned().unwrap_or_default();
        match path {
            "/rows-get" => {
                let from = query.get("from").cloned().unwrap_or_default();
                let limit = query.get("limit").and_then(|n| n.parse().ok()).unwrap_or(500usize);
                let found: Vec<String> = rows
                    .rows
                    .iter()
                    .filter(|((t, k), (_, v))| *t == table && v.is_some() && *k >= from)
                    .map(|((_, k), _)| k.clone())
                    .collect();
                let more = found.len() > limit;
                let list: Vec<String> =
                    found.iter().take(limit).map(|k| rows.row_json(&table, k)).collect();
                let body = format!(
                    "{{\"rows\":[{}],\"more\":{more},\"ver\":{},\"now_ms\":{now_ms}}}",
                    list.join(","),
                    rows.version
                );
                answer("200 OK", &headers, body.as_bytes())
            }
            "/rows-feed" => {
                let after: u64 = query.get("after").and_then(|n| n.parse().ok()).unwrap_or(0);
                let mut found: Vec<(u64, String)> = rows
                    .rows
                    .iter()
                    .filter(|((t, _), (v, _))| *t == table && *v > after)
                    .map(|((_, k), (v, _))| (*v, k.clone()))
                    .collect();
                found.sort();
                let list: Vec<String> = found.iter().map(|(_, k)| rows.row_json(&table, k)).collect();
                let body = format!(
                    "{{\"rows\":[{}],\"ver\":{},\"now_ms\":{now_ms}}}",
                    list.join(","),
                    rows.version
                );
                answer("200 OK", &headers, body.as_bytes())
            }
            "/rows-tx" => {
                let Some(call) = Json::parse(&String::from_utf8_lossy(body)) else {
                    return answer("400 Bad Request", &headers, b"");
                };
                let expected = call.list("expected");
                let holds = expected.iter().all(|e| {
                    let key = (
                        e.text("table").unwrap_or("").to_string(),
                        e.text("key").unwrap_or("").to_string(),
                    );
                    let found = rows.rows.get(&key).filter(|(_, v)| v.is_some()).map_or(0, |r| r.0);
                    found == e.number("ver").unwrap_or(0)
                });
                if !holds {
                    let list: Vec<String> = expected
                        .iter()
                        .map(|e| rows.row_json(e.text("table").unwrap_or(""), e.text("key").unwrap_or("")))
                        .filter(|row| !row.is_empty())
                        .collect();
                    let body = format!(
                        "{{\"rows\":[{}],\"ver\":{},\"now_ms\":{now_ms}}}",
                        list.join(","),
                        rows.version
                    );
                    return answer("412 Precondition Failed", &headers, body.as_bytes());
                }
                let writes = call.list("put").iter().map(|e| (e, true));
                let writes: Vec<(&Json, bool)> =
                    writes.chain(call.list("remove").iter().map(|e| (e, false))).collect();
                if !writes.is_empty() {
                    rows.version += 1;
                }
                let version = rows.version;
                for (entry, puts) in writes {
                    let key = (
                        entry.text("table").unwrap_or("").to_string(),
                        entry.text("key").unwrap_or("").to_string(),
                    );
                    let value = puts.then(|| entry.text("value").unwrap_or("").to_string());
                    rows.rows.insert(key, (version, value));
                }
                let body = format!("{{\"ver\":{version},\"now_ms\":{now_ms}}}");
                answer("200 OK", &headers, body.as_bytes())
            }
            _ => answer("404 Not Found", &headers, b""),
        }
    }
}

// ---------------------------------------------------------------- hosts

pub struct Host {
    pub ip: Ipv4Addr,
    pub ports: Ports,
    pub name: String,
    settings: PathBuf,
    log: PathBuf,
    pub child: Option<Child>,
}

#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub front: u16,
    pub entry: u16,
    pub ready: u16,
    pub peers: u16,
    pub forwards: u16,
    pub metrics: u16,
}

static NET: AtomicU64 = AtomicU64::new(0);

/// Settings that differ from the defaults of the template.
#[derive(Clone)]
pub struct SitePlan {
    pub hosts: usize,
    pub more_bounds: String,
    pub first_start: bool,
}

pub struct Site {
    pub store: Store,
    pub hosts: Vec<Host>,
    pub folder: PathBuf,
}

/// Ports that are free on every address used.
fn free_ports(net: [u8; 3], hosts: usize) -> Ports {
    let mut base = 20_000 + (std::process::id() % 20_000) as u16;
    loop {
        let is_free = |port: u16| {
            (1..=hosts as u8).all(|last| {
                let ip = Ipv4Addr::new(net[0], net[1], net[2], last);
                TcpListener::bind(SocketAddrV4::new(ip, port)).is_ok()
                    && std::net::UdpSocket::bind(SocketAddrV4::new(ip, port)).is_ok()
            })
        };
        if (base..base + 6).all(is_free) {
            return Ports {
                front: base,
                entry: base + 1,
                ready: base + 2,
                peers: base + 3,
                forwards: base + 4,
                metrics: base + 5,
            };
        }
        base += 16;
    }
}

impl Site {
    pub fn start(plan: &SitePlan, store: Store) -> Self {
        let n = NET.fetch_add(1, Ordering::SeqCst);
        let pid = std::process::id();
        let net = [127, 64 + (pid % 60) as u8, ((pid / 60) as u64 % 200 + n) as u8];
        let folder = std::env::temp_dir().join(format!("coveproxy-review-{pid}-{n}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let ports = free_ports(net, plan.hosts);
        let seeds: Vec<String> = (1..=plan.hosts.min(3))
            .map(|last| format!("{}.{}.{}.{last}:{}", net[0], net[1], net[2], ports.peers))
            .collect();
        let hosts = (1..=plan.hosts)
            .map(|last| {
                let ip = Ipv4Addr::new(net[0], net[1], net[2], last as u8);
                let name = format!("front-{last}");
                let settings = folder.join(format!("{name}.ini"));
                let text = format!(
                    "[host]\nname = {name}\nhall = hall-{}\nfirst_start = {}\n\n[listen]\nfront = {ip}:{}\nentry = {ip}:{}\nready = {ip}:{}\npeers_ip = {ip}\npeers_port = {}\nforwards_port = {}\nmetrics = {ip}:{}\n\n[store]\naddress = {}\n\n[lease]\nlength_ms = 12000\nrenew_ms = 2800\n\n[peers]\nseeds = {}\n\n[limits]\nlink_mbps = 1000.0\nmemory_mb = 260\n\n[bounds]\ndrain_ms = 2000\nconfig_ms = 2000\nversion_ms = 5000\nlease_ms = 3000\nbudget_ratio = 0.2\nbudget_extra = 52\nbudget_window_s = 10\nentry_life_s = 5\ngrace_s = 8\n{}",
                    last % 2, plan.first_start, ports.front, ports.entry, ports.ready, ports.peers, ports.forwards, ports.metrics,
                    store.address, seeds.join(","), plan.more_bounds
                );
                fs::write(&settings, text).expect("settings");
                let log = folder.join(format!("{name}.log"));
                Host { ip, ports, name, settings, log, child: None }
            })
            .collect();
        let mut site = Self { store, hosts, folder };
        for host in &mut site.hosts {
            host.start();
        }
        site
    }

    /// True once all hosts say that they are ready.
    pub fn wait_ready(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if self.hosts.iter().all(Host::is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn stop(&mut self) {
        for host in &mut self.hosts {
            host.kill();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Host {
    pub fn front(&self) -> SocketAddr {
        SocketAddr::from((self.ip, self.ports.front))
    }

    pub fn start(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log).expect("a log");
        let child = Command::new("target/release/coveproxy-platform")
            .env("COVEPROXY_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .expect("the program of the deploy file");
        self.child = Some(child);
    }

    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status();
        }
    }

    /// Waits until the process has ended by itself; kills it after `grace`, as the platform does.
    pub fn wait_end(&mut self, grace: Duration) -> Duration {
        let begun = Instant::now();
        let Some(mut child) = self.child.take() else { return Duration::ZERO };
        loop {
            if let Ok(Some(_)) = child.try_wait() {
                return begun.elapsed();
            }
            if begun.elapsed() >= grace {
                let _ = child.kill();
                let _ = child.wait();
                return begun.elapsed();
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn has_ended(&mut self) -> bool {
        match &mut self.child {
            Some(child) => matches!(child.try_wait(), Ok(Some(_))),
            None => true,
        }
    }

    pub fn is_ready(&self) -> bool {
        get(SocketAddr::from((self.ip, self.ports.ready)), "/readiness", Duration::from_millis(500)) == 200
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

/// The status of a GET, 0 without an answer.
pub fn get(address: SocketAddr, path: &str, within: Duration) -> u16 {
    let Ok(stream) = TcpStream::connect_timeout(&address, within) else { return 0 };
    let _ = stream.set_read_timeout(Some(within));
    let mut wire = Wire::new(stream);
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    if wire.send(request.as_bytes()).is_err() {
        return 0;
    }
    match wire.head() {
        Ok(Some(head)) => head.status(),
        _ => 0,
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis() as u64)
}
