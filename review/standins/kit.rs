//! Small stand-ins for the platform's store, for workers and for clients, and a site of `coveproxy-platform` processes on
//! loopback. Standard library only; built by `review/build.sh`.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    io::{Read, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, a: u64, b: u64, c: u64, d: u64) -> i32;
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn random() -> u64 {
    static STATE: AtomicU64 = AtomicU64::new(0);
    let seed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64;
    let mut x = STATE.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed) ^ seed;
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

pub fn chance(share: f64) -> bool {
    ((random() >> 11) as f64) / ((1u64 << 53) as f64) < share
}

// ---------------------------------------------------------------- JSON

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(String),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut at = 0;
        value(text.as_bytes(), &mut at)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Obj(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Str(text)) => text.clone(),
            Some(Json::Num(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(Json::Num(text)) => text.parse().ok(),
            _ => None,
        }
    }

    pub fn list(&self, name: &str) -> Vec<Json> {
        match self.get(name) {
            Some(Json::Arr(items)) => items.clone(),
            _ => Vec::new(),
        }
    }
}

fn blank(text: &[u8], at: &mut usize) {
    while text.get(*at).is_some_and(|b| b.is_ascii_whitespace()) {
        *at += 1;
    }
}

fn value(text: &[u8], at: &mut usize) -> Option<Json> {
    blank(text, at);
    match *text.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                blank(text, at);
                match *text.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Obj(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let Json::Str(key) = value(text, at)? else { return None };
                        blank(text, at);
                        if *text.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((key, value(text, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                blank(text, at);
                match *text.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::Arr(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(value(text, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut bytes = Vec::new();
            loop {
                match *text.get(*at)? {
                    b'"' => {
                        *at += 1;
                        return Some(Json::Str(String::from_utf8(bytes).ok()?));
                    }
                    b'\\' => {
                        let escaped = *text.get(*at + 1)?;
                        *at += 2;
                        bytes.push(match escaped {
                            b'n' => b'\n',
                            b't' => b'\t',
                            other => other,
                        });
                    }
                    byte => {
                        bytes.push(byte);
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
            let from = *at;
            while text.get(*at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                *at += 1;
            }
            (*at > from).then(|| Json::Num(String::from_utf8_lossy(&text[from..*at]).to_string()))
        }
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let n = (u32::from(part[0]) << 16)
            | (u32::from(*part.get(1).unwrap_or(&0)) << 8)
            | u32::from(*part.get(2).unwrap_or(&0));
        for i in 0..4 {
            match i <= part.len() {
                true => out.push(BASE64[(n >> (18 - 6 * i)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}

// ---------------------------------------------------------------- HTTP

#[derive(Debug, Clone)]
pub struct Request {
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> String {
        find(&self.headers, name)
    }
}

pub fn find(headers: &[(String, String)], name: &str) -> String {
    headers.iter().find(|(key, _)| key == name).map_or(String::new(), |(_, v)| v.clone())
}

pub struct Wire {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn fill(&mut self) -> Option<()> {
        let mut bytes = [0u8; 16 * 1024];
        match self.stream.read(&mut bytes) {
            Ok(0) | Err(_) => None,
            Ok(size) => {
                self.buffer.extend_from_slice(&bytes[..size]);
                Some(())
            }
        }
    }

    pub fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Some(String::from_utf8_lossy(&line).trim_end().to_string());
            }
            self.fill()?;
        }
    }

    pub fn take(&mut self, size: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < size {
            self.fill()?;
        }
        Some(self.buffer.drain(..size).collect())
    }

    pub fn headers(&mut self) -> Option<Vec<(String, String)>> {
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Some(headers);
            }
            let (name, value) = line.split_once(':')?;
            headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
    }

    pub fn request(&mut self) -> Option<Request> {
        let first = self.line()?;
        let mut words = first.split(' ');
        let target = words.nth(1)?.to_string();
        let headers = self.headers()?;
        let size = find(&headers, "content-length").parse().unwrap_or(0);
        let body = self.take(size)?;
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let query = pairs.map(|(name, value)| (name.to_string(), decoded(value))).collect();
        Some(Request { path: path.to_string(), query, headers, body })
    }
}

fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            out.push(u8::from_str_radix(&text[at + 1..at + 3], 16).unwrap());
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).to_string()
}

/// The bytes of a whole answer with a length.
pub fn whole(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} x\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

// ---------------------------------------------------------------- the platform's store

type Name = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Name, (Option<String>, u64)>,
    version: u64,
}

/// The platform's store: linearizable, never down.
#[derive(Clone)]
pub struct Store {
    rows: Arc<Mutex<Rows>>,
    started: Instant,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = Self {
            rows: Arc::default(),
            started: Instant::now(),
            address: listener.local_addr().unwrap(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || {
                    let mut wire = Wire::new(stream);
                    while let Some(request) = wire.request() {
                        thread::sleep(ms(4));
                        let (status, body) = store.answer(&request);
                        let head = [("Content-Type", "application/json"), ("Store-Era", "0")];
                        if wire.stream.write_all(&whole(status, &head, body.as_bytes())).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        store
    }

    /// A write of the operator or of a worker.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let name = (table.to_string(), String::new(), key.to_string());
        rows.rows.insert(name, (value.map(|value| base64(value.as_bytes())), version));
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let now = self.started.elapsed().as_millis();
        let asked = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        match request.path.as_str() {
            "/rows-tx" => self.transact(&request.body, now),
            "/rows-get" => {
                let rows = self.rows.lock().unwrap();
                let (table, part, from) = (asked("table"), asked("part"), asked("from"));
                let limit: usize = asked("limit").parse().unwrap_or(500);
                let found: Vec<String> = rows
                    .rows
                    .iter()
                    .filter(|((t, p, k), (v, _))| {
                        *t == table && *p == part && *k >= from && v.is_some()
                    })
                    .map(|(name, (value, version))| row(name, value, *version))
                    .collect();
                let more = found.len() > limit;
                let page = found[..found.len().min(limit)].join(",");
                let version = rows.version;
                (200, format!("{{\"rows\":[{page}],\"more\":{more},\"ver\":{version},\"now_ms\":{now}}}"))
            }
            "/rows-feed" => {
                let (table, after) = (asked("table"), asked("after").parse::<u64>().unwrap_or(0));
                let until = Instant::now() + ms(asked("waitMs").parse().unwrap_or(0));
                loop {
                    let rows = self.rows.lock().unwrap();
                    let mut found: Vec<(u64, String)> = rows
                        .rows
                        .iter()
                        .filter(|((t, _, _), (_, version))| *t == table && *version > after)
                        .map(|(name, (value, version))| (*version, row(name, value, *version)))
                        .collect();
                    found.sort();
                    if !found.is_empty() || Instant::now() >= until {
                        let found: Vec<String> = found.into_iter().map(|(_, row)| row).collect();
                        let (found, version) = (found.join(","), rows.version);
                        return (200, format!("{{\"rows\":[{found}],\"ver\":{version},\"now_ms\":{now}}}"));
                    }
                    drop(rows);
                    thread::sleep(ms(5));
                }
            }
            _ => (404, String::new()),
        }
    }

    fn transact(&self, body: &[u8], now: u128) -> (u16, String) {
        let Some(body) = Json::parse(&String::from_utf8_lossy(body)) else {
            return (400, String::new());
        };
        let name = |entry: &Json| (entry.text("table"), entry.text("part"), entry.text("key"));
        let mut rows = self.rows.lock().unwrap();
        let expected = body.list("expected");
        let holds = expected.iter().all(|entry| {
            let found = rows.rows.get(&name(entry));
            let version = found.map_or(0, |(value, version)| value.as_ref().map_or(0, |_| *version));
            Some(version) == entry.number("ver")
        });
        if !holds {
            let found: Vec<String> = expected
                .iter()
                .filter_map(|entry| {
                    let name = name(entry);
                    let (value, version) = rows.rows.get(&name)?;
                    value.as_ref()?;
                    Some(row(&name, value, *version))
                })
                .collect();
            let (found, version) = (found.join(","), rows.version);
            return (412, format!("{{\"rows\":[{found}],\"ver\":{version},\"now_ms\":{now}}}"));
        }
        rows.version += 1;
        let version = rows.version;
        for entry in body.list("put") {
            rows.rows.insert(name(&entry), (Some(entry.text("value")), version));
        }
        for entry in body.list("remove") {
            rows.rows.insert(name(&entry), (None, version));
        }
        (200, format!("{{\"ver\":{version},\"now_ms\":{now}}}"))
    }
}

fn row(name: &Name, value: &Option<String>, version: u64) -> String {
    let (table, part, key) = name;
    let head = format!("\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",\"ver\":{version}");
    match value {
        Some(value) => format!("{{{head},\"value\":\"{value}\"}}"),
        None => format!("{{{head},\"gone\":true}}"),
    }
}

// ---------------------------------------------------------------- the record

/// What was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    lines: Arc<Mutex<Vec<(Instant, String)>>>,
    started: Instant,
    file: PathBuf,
}

impl Record {
    pub fn new(folder: &str) -> Self {
        Self {
            lines: Arc::default(),
            started: Instant::now(),
            file: PathBuf::from(folder).join("record.txt"),
        }
    }

    pub fn note(&self, line: String) {
        self.lines.lock().unwrap().push((Instant::now(), line));
    }

    pub fn say(&self, line: String) {
        println!("{line}");
        self.note(line);
    }

    pub fn write(&self) {
        let lines = self.lines.lock().unwrap();
        let mut text = String::new();
        for (at, line) in lines.iter() {
            text += &format!("{:9.3} {line}\n", at.duration_since(self.started).as_secs_f64());
        }
        fs::write(&self.file, text).unwrap();
    }
}

// ---------------------------------------------------------------- the site

#[derive(Clone, Copy)]
struct Ports {
    front: u16,
    entry: u16,
    ready: u16,
    peers: u16,
    forwards: u16,
    metrics: u16,
}

pub struct Host {
    pub name: String,
    pub ip: IpAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// The hosts of a site, each a process of the deploy file's command.
pub struct Site {
    pub hosts: Vec<Host>,
    folder: PathBuf,
    ports: Ports,
    record: Record,
}

impl Site {
    /// Writes the settings of `count` hosts, as `deploy/node.ini` is filled for a small deployment.
    pub fn new(count: usize, store: &Store, record: &Record) -> Self {
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("coveproxy-review-{process}"));
        fs::create_dir_all(&folder).unwrap();
        let net = [127, 60 + (process % 180) as u8, (process / 180 % 250) as u8];
        let any = SocketAddr::from(([net[0], net[1], net[2], 1], 0));
        let held: Vec<TcpListener> = (0..6).map(|_| TcpListener::bind(any).unwrap()).collect();
        let port = |at: usize| held[at].local_addr().unwrap().port();
        let ports = Ports {
            front: port(0),
            entry: port(1),
            ready: port(2),
            peers: port(3),
            forwards: port(4),
            metrics: port(5),
        };
        let ip = |at: usize| IpAddr::V4(Ipv4Addr::new(net[0], net[1], net[2], 1 + at as u8));
        let seeds: Vec<String> = (0..count.min(3)).map(|at| format!("{}:{}", ip(at), ports.entry)).collect();
        let mut hosts = Vec::new();
        for at in 0..count {
            let (name, ip) = (format!("front-{at}"), ip(at));
            let settings = folder.join(format!("{name}.ini"));
            let text = format!(
                "[host]\nname = {name}\nhall = pdx-a\nfirst_start = true\n\n\
                 [listen]\nfront = {ip}:{}\nentry = {ip}:{}\nready = {ip}:{}\npeers_ip = {ip}\npeers_port = {}\n\
                 forwards_port = {}\nmetrics = {ip}:{}\n\n[store]\naddress = {}\n\n\
                 [lease]\nlength_ms = 12000\nrenew_ms = 2800\n\n[peers]\nseeds = {}\n\n\
                 [limits]\nlink_mbps = 1000.0\nmemory_mb = 260\n\n\
                 [bounds]\ndrain_ms = 2000\nconfig_ms = 2000\nversion_ms = 5000\nlease_ms = 3000\nbudget_ratio = 0.2\n\
                 budget_extra = 54\nbudget_window_s = 10\nentry_life_s = 5\ngrace_s = 8\n",
                ports.front, ports.entry, ports.ready, ports.peers, ports.forwards, ports.metrics,
                store.address, seeds.join(","),
            );
            fs::write(&settings, text).unwrap();
            let log = folder.join(format!("{name}.log"));
            hosts.push(Host { name, ip, settings, log, child: None });
        }
        Self { hosts, folder, ports, record: record.clone() }
    }

    pub fn front(&self, at: usize) -> SocketAddr {
        SocketAddr::new(self.hosts[at].ip, self.ports.front)
    }

    pub fn fronts(&self) -> Vec<SocketAddr> {
        (0..self.hosts.len()).map(|at| self.front(at)).collect()
    }

    /// Starts a host with the command of the deploy file.
    pub fn start(&mut self, at: usize) {
        let host = &mut self.hosts[at];
        let log = fs::OpenOptions::new().create(true).append(true).open(&host.log).unwrap();
        let mut command = Command::new("target/release/coveproxy-platform");
        command
            .env("COVEPROXY_SETTINGS", &host.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log);
        // It ends with this process, whatever becomes of that.
        unsafe {
            command.pre_exec(|| {
                prctl(1, 9, 0, 0, 0);
                Ok(())
            });
        }
        match command.spawn() {
            Ok(child) => host.child = Some(child),
            Err(problem) => give_up(&self.record, &format!("coveproxy-platform does not start: {problem}")),
        }
        self.record.note(format!("host {} started", self.hosts[at].name));
    }

    /// What starts from now on is not the first process of its host.
    pub fn end_first_start(&self) {
        for host in &self.hosts {
            let text = fs::read_to_string(&host.settings).unwrap();
            fs::write(&host.settings, text.replace("first_start = true", "first_start = false")).unwrap();
        }
    }

    /// Kills a host's process (SIGKILL).
    pub fn kill(&mut self, at: usize) {
        self.signal(at, 9);
        self.reap(at);
    }

    pub fn reap(&mut self, at: usize) {
        if let Some(mut child) = self.hosts[at].child.take() {
            let _ = child.wait();
        }
    }

    pub fn signal(&self, at: usize, signal: i32) {
        if let Some(child) = &self.hosts[at].child {
            unsafe { kill(child.id() as i32, signal) };
            self.record.note(format!("host {} got signal {signal}", self.hosts[at].name));
        }
    }

    pub fn is_ready(&self, at: usize) -> bool {
        let address = SocketAddr::new(self.hosts[at].ip, self.ports.ready);
        let Ok(stream) = TcpStream::connect_timeout(&address, ms(500)) else { return false };
        let _ = stream.set_read_timeout(Some(ms(1000)));
        let mut wire = Wire::new(stream);
        let _ = wire.stream.write_all(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n");
        wire.line().is_some_and(|line| line.contains(" 200"))
    }

    pub fn wait_ready(&mut self) {
        let begun = Instant::now();
        for at in 0..self.hosts.len() {
            while !self.is_ready(at) {
                if begun.elapsed() > ms(20_000) {
                    give_up(&self.record, &format!("{} does not get ready", self.hosts[at].name));
                }
                thread::sleep(ms(20));
            }
        }
    }

    /// Processor time that a host's process has used.
    pub fn processor_time(&self, at: usize) -> f64 {
        let Some(child) = &self.hosts[at].child else { return 0.0 };
        let text = fs::read_to_string(format!("/proc/{}/stat", child.id())).unwrap_or_default();
        let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
        (ticks(11) + ticks(12)) / 100.0
    }

    pub fn stop(&mut self) {
        for at in 0..self.hosts.len() {
            self.kill(at);
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.stop();
    }
}

/// The case can't run.
pub fn give_up(record: &Record, why: &str) -> ! {
    record.say(format!("can't run: {why}"));
    record.write();
    std::process::exit(2)
}

// ---------------------------------------------------------------- workers

/// What a worker does of its own.
pub trait Work: Send + Sync + 'static {
    /// Serves one request; returns false if the connection is to be closed.
    fn serve(&self, worker: &Worker, request: &Request, wire: &mut Wire, connection: &mut Connection) -> bool;
    /// Further fields of its entry, each with a comma before it.
    fn fields(&self) -> String;
}

/// What a worker keeps with a connection.
#[derive(Default)]
pub struct Connection {
    pub pending: Vec<u8>,
}

#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub service: String,
    pub software: String,
    pub slots: u32,
    pub born: u64,
    pub address: SocketAddr,
    pub record: Record,
    state: Arc<Mutex<&'static str>>,
    gone: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    beats: Arc<AtomicU64>,
    store: Store,
    work: Arc<dyn Work>,
}

impl Worker {
    pub fn start(service: &str, software: &str, slots: u32, store: &Store, record: &Record, work: Arc<dyn Work>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let worker = Self {
            id: format!("i-{:010x}", random() >> 24),
            service: service.to_string(),
            software: software.to_string(),
            slots,
            born: SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64,
            address: listener.local_addr().unwrap(),
            record: record.clone(),
            state: Arc::new(Mutex::new("ready")),
            gone: Arc::default(),
            open: Arc::default(),
            beats: Arc::default(),
            store: store.clone(),
            work,
        };
        let serving = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.is_gone() {
                    return;
                }
                serving.open.lock().unwrap().push(stream.try_clone().unwrap());
                let worker = serving.clone();
                thread::spawn(move || worker.serve(stream));
            }
        });
        worker.beat();
        // It writes its entry about every heartbeat.
        let beating = worker.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(ms(1200));
                if beating.is_gone() {
                    return;
                }
                beating.beat();
            }
        });
        record.note(format!("worker {} ({service}, software {software}) starts", worker.id));
        worker
    }

    pub fn is_gone(&self) -> bool {
        self.gone.load(Ordering::SeqCst)
    }

    /// Writes its entry.
    pub fn beat(&self) {
        let state = self.state.lock().unwrap();
        let text = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"pdx-a\",\"version\":\"{}\",\"slots\":{},\"state\":\"{}\",\
             \"coldLeftMs\":0,\"sequence\":0,\"born\":{}{}}}",
            self.service, self.address, self.software, self.slots, *state, self.born, self.work.fields()
        );
        if !self.is_gone() {
            self.beats.fetch_add(1, Ordering::Relaxed);
            self.store.put("servers", &self.id, Some(&text));
        }
    }

    /// How often it has written its entry.
    pub fn beats(&self) -> u64 {
        self.beats.load(Ordering::Relaxed)
    }

    /// Says that it drains.
    pub fn drain(&self) {
        *self.state.lock().unwrap() = "draining";
        self.beat();
        self.record.note(format!("worker {} says draining", self.id));
    }

    /// Ends: its entry goes, and its connections are closed.
    pub fn end(&self) {
        let state = self.state.lock().unwrap();
        self.gone.store(true, Ordering::SeqCst);
        self.store.put("servers", &self.id, None);
        drop(state);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        let _ = TcpStream::connect(self.address);
        self.record.note(format!("worker {} ends", self.id));
    }

    fn serve(&self, stream: TcpStream) {
        let mut wire = Wire::new(stream);
        let mut connection = Connection::default();
        while let Some(request) = wire.request() {
            if self.is_gone() {
                return;
            }
            let expected = request.header("x-coveproxy-expect-instance");
            let id = request.header("x-coveproxy-request-id");
            if !expected.is_empty() && expected != self.id {
                let head = [("X-Coveproxy-Instance-Id", self.id.as_str()), ("X-Coveproxy-Request-Id", id.as_str())];
                if wire.stream.write_all(&whole(421, &head, b"")).is_err() {
                    return;
                }
                continue;
            }
            if request.path == "/health" {
                let head = [("X-Coveproxy-Instance-Id", self.id.as_str())];
                if wire.stream.write_all(&whole(200, &head, b"")).is_err() {
                    return;
                }
                continue;
            }
            let work = self.work.clone();
            if !work.serve(self, &request, &mut wire, &mut connection) {
                return;
            }
        }
    }
}

// ---------------------------------------------------------------- clients

/// One attempt of a client, as it saw it.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub id: String,
    /// 0 if there was none.
    pub status: u16,
    /// The body came to its end.
    pub complete: bool,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

pub fn new_id() -> String {
    format!("{:016x}", random())
}

/// A client's connection.
pub struct Client {
    pub host: SocketAddr,
    wire: Option<Wire>,
}

impl Client {
    pub fn to(host: SocketAddr) -> Self {
        Self { host, wire: None }
    }

    /// Sends one attempt; `on_piece` gets the pieces of the body as they come, and returns false to leave.
    pub fn send(
        &mut self,
        id: &str,
        method: &str,
        path: &str,
        headers: &[(String, String)],
        body: &[u8],
        deadline: Duration,
        mut on_piece: impl FnMut(&[u8]) -> bool,
    ) -> Answer {
        let mut answer = Answer { id: id.to_string(), ..Answer::default() };
        let mut wire = match self.wire.take() {
            Some(wire) => wire,
            None => match TcpStream::connect_timeout(&self.host, ms(1000)) {
                Ok(stream) => Wire::new(stream),
                Err(_) => return answer,
            },
        };
        let _ = wire.stream.set_read_timeout(Some(deadline + ms(1500)));
        let mut text = format!(
            "{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Coveproxy-Request-Id: {id}\r\nX-Coveproxy-Deadline-Ms: {}\r\n",
            deadline.as_millis()
        );
        for (name, value) in headers {
            text += &format!("{name}: {value}\r\n");
        }
        text += &format!("Content-Length: {}\r\n\r\n", body.len());
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        if wire.stream.write_all(&bytes).is_err() {
            return answer;
        }
        let Some(first) = wire.line() else { return answer };
        let status = first.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
        let Some(headers) = wire.headers() else { return answer };
        answer.status = status;
        answer.headers = headers;
        let chunked = find(&answer.headers, "transfer-encoding") == "chunked";
        if !chunked {
            let size = find(&answer.headers, "content-length").parse().unwrap_or(0);
            let Some(body) = wire.take(size) else { return answer };
            on_piece(&body);
            answer.body = body;
        } else {
            loop {
                let Some(line) = wire.line() else { return answer };
                let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
                if size == 0 {
                    let _ = wire.line();
                    break;
                }
                let Some(piece) = wire.take(size) else { return answer };
                let _ = wire.line();
                answer.body.extend_from_slice(&piece);
                if !on_piece(&piece) {
                    return answer;
                }
            }
        }
        answer.complete = true;
        if find(&answer.headers, "connection") != "close" {
            self.wire = Some(wire);
        }
        answer
    }
}

/// True for the statuses that promise that the request has not run and never will.
pub fn promises_not_run(status: u16) -> bool {
    [408, 421, 429, 503].contains(&status)
}

/// The version of the software that wrote each event of a stream, by the event's id.
pub fn events_of(body: &[u8]) -> Vec<(u64, String)> {
    let text = String::from_utf8_lossy(body).to_string();
    let mut events = Vec::new();
    for event in text.split("\n\n") {
        let field = |name: &str| {
            event.lines().find_map(|line| line.strip_prefix(name)).map(|value| value.trim().to_string())
        };
        if let (Some(id), Some(data)) = (field("id:"), field("data:")) {
            if let Ok(id) = id.parse() {
                events.push((id, data.split(' ').next().unwrap_or("").to_string()));
            }
        }
    }
    events
}

pub fn set_of<T: Ord + Clone>(items: impl Iterator<Item = T>) -> BTreeSet<T> {
    items.collect()
}
