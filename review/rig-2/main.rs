//! Test rig of the second review: starts the platform's programs as separate processes on loopback
//! addresses, with stand-ins for replicas, clients, the operator and the links between them.
//!
//! `rig case NAME RECORD TROUBLE` plays a case and writes what was sent, answered and run to the file RECORD. It exits
//! with 0 if the rule held, 1 if it was broken, 2 if the case could not run. `rig replica ...` is
//! the stand-in of a replica, a process of its own, so that it can be killed.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{exit, Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Longest time that a case may take.
const LIMIT: Duration = Duration::from_secs(112);
/// Interval of heartbeats, as the platform's example settings give it.
const BEAT: Duration = Duration::from_millis(1_200);
/// Ports of each node; nodes differ in their addresses.
const INTERNAL: u16 = 7380;
const SERVED: u16 = 8144;
const READY: u16 = 8141;
const REPLICA: u16 = 8501;
/// `RecoverS` of the small sites.
const RECOVER: Duration = Duration::from_secs(12);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

// --- HTTP ---------------------------------------------------------------------------------------

/// A parsed head: its first line, its headers with names in lower case.
struct Head {
    line: String,
    headers: BTreeMap<String, String>,
}

impl Head {
    fn get(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads a head; bytes after it stay in `buffer`. `None` if the connection ends before.
fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Head> {
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 4);
            let mut lines = text.split("\r\n");
            let line = lines.next().unwrap_or_default().to_owned();
            let headers = lines.filter_map(|l| l.split_once(':'));
            let headers = headers.map(|(n, v)| (n.trim().to_lowercase(), v.trim().to_owned()));
            return Some(Head {
                line,
                headers: headers.collect(),
            });
        }
        if !fill(stream, buffer) {
            return None;
        }
    }
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> bool {
    let mut bytes = [0; 16 * 1024];
    match stream.read(&mut bytes) {
        Ok(count) if count > 0 => {
            buffer.extend_from_slice(&bytes[..count]);
            true
        }
        _ => false,
    }
}

/// What a caller got.
#[derive(Default)]
struct Answer {
    status: u16,
    /// Whether the answer looks complete to the caller.
    complete: bool,
    stamped: bool,
    body: Vec<u8>,
}

/// Makes one call on a new connection and reads the answer to its end, as its framing tells it.
fn call(to: SocketAddr, request: &[u8], limit: Duration) -> Answer {
    let mut answer = Answer::default();
    let end = Instant::now() + limit;
    let Ok(mut stream) = TcpStream::connect_timeout(&to, ms(1_000)) else {
        return answer;
    };
    let _ = stream.set_read_timeout(Some(limit));
    if stream.write_all(request).is_err() {
        return answer;
    }
    let mut buffer = Vec::new();
    let Some(head) = read_head(&mut stream, &mut buffer) else {
        return answer;
    };
    answer.status = head
        .line
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    answer.stamped = !head.get("response-stamp").is_empty();
    let more = |stream: &mut TcpStream, buffer: &mut Vec<u8>| {
        let left = end.saturating_duration_since(Instant::now());
        !left.is_zero() && stream.set_read_timeout(Some(left)).is_ok() && fill(stream, buffer)
    };
    if head
        .get("transfer-encoding")
        .eq_ignore_ascii_case("chunked")
    {
        loop {
            let Some(at) = buffer.windows(2).position(|w| w == b"\r\n") else {
                if !more(&mut stream, &mut buffer) {
                    return answer;
                }
                continue;
            };
            let size = String::from_utf8_lossy(&buffer[..at]).into_owned();
            let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
                return answer;
            };
            while buffer.len() < at + 2 + size + 2 {
                if !more(&mut stream, &mut buffer) {
                    return answer;
                }
            }
            answer
                .body
                .extend_from_slice(&buffer[at + 2..at + 2 + size]);
            buffer.drain(..at + 2 + size + 2);
            if size == 0 {
                answer.complete = true;
                return answer;
            }
        }
    }
    if let Ok(length) = head.get("content-length").parse::<usize>() {
        while buffer.len() < length {
            if !more(&mut stream, &mut buffer) {
                answer.body = buffer;
                return answer;
            }
        }
        buffer.truncate(length);
        answer.body = buffer;
        answer.complete = true;
        return answer;
    }
    // Without a length the answer ends with its connection; a reset or a timeout is no end.
    let mut bytes = [0; 16 * 1024];
    loop {
        match stream.read(&mut bytes) {
            Ok(0) => {
                answer.complete = true;
                break;
            }
            Ok(count) => buffer.extend_from_slice(&bytes[..count]),
            Err(_) => break,
        }
    }
    answer.body = buffer;
    answer
}

fn put(to: SocketAddr, path: &str, body: &str, limit: Duration) -> u16 {
    let text = format!(
        "PUT {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    call(to, text.as_bytes(), limit).status
}

// --- The stand-in of a replica ------------------------------------------------------------------

/// The whole body of the answer to a request.
fn whole_body(id: &str, streams: bool) -> Vec<Vec<u8>> {
    match streams {
        // 30 events, ids rising.
        true => (1..=30)
            .map(|n| format!("id: {n}\ndata: {id} piece {n} of 30\n\n").into_bytes())
            .collect(),
        // 800 bytes in two pieces.
        false => {
            let text = format!(
                "{id} begins {}{id} ends",
                ".".repeat(800 - 2 * id.len() - 13)
            );
            let (one, two) = text.split_at(400);
            vec![one.as_bytes().to_vec(), two.as_bytes().to_vec()]
        }
    }
}

fn note(record: &Path, line: &str) {
    let file = fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(record);
    if let Ok(mut file) = file {
        let _ = file.write_all(format!("{line}\n").as_bytes());
    }
}

/// Arguments: listen, advertised address, id, service, zone, record, control addresses.
fn replica(args: &[String]) -> ! {
    let [listen, advertised, id, service, zone, record, control] = args else {
        exit(2);
    };
    let record = PathBuf::from(record);
    let listener = TcpListener::bind(listen.as_str()).unwrap_or_else(|_| exit(3));
    // Ends with the rig.
    spawn(|| {
        let mut byte = [0];
        let _ = std::io::stdin().read(&mut byte);
        exit(0);
    });
    let control: Vec<SocketAddr> = control.split(',').map(|a| a.parse().unwrap()).collect();
    let (beat_id, beat_record) = (id.clone(), record.clone());
    let (service, zone, advertised) = (service.clone(), zone.clone(), advertised.clone());
    spawn(move || {
        let mut at = 0;
        for seq in 1.. {
            let body = format!(
                "{{\"Service\":\"{service}\",\"Address\":\"{advertised}\",\"Zone\":\"{zone}\",\
                 \"Version\":\"v1\",\"Slots\":6,\"State\":\"ready\",\"ColdRemainingMs\":0,\"Seq\":{seq}}}"
            );
            // A 2xx within a second acknowledges the heartbeat; else the next node is called.
            let mut told = Vec::new();
            for _ in 0..control.len() {
                let status = put(
                    control[at],
                    &format!("/instances/{beat_id}"),
                    &body,
                    ms(1_000),
                );
                told.push(status);
                if (200..300).contains(&status) {
                    break;
                }
                at = (at + 1) % control.len();
            }
            note(
                &beat_record,
                &format!("beat {beat_id} seq {seq} answered {told:?} (0: nothing)"),
            );
            sleep(BEAT);
        }
    });
    for stream in listener.incoming().flatten() {
        let (id, record) = (id.clone(), record.clone());
        spawn(move || serve(stream, &id, &record));
    }
    exit(0);
}

fn serve(mut stream: TcpStream, own: &str, record: &Path) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buffer) {
        let length: usize = head.get("content-length").parse().unwrap_or(0);
        while buffer.len() < length {
            if !fill(&mut stream, &mut buffer) {
                return;
            }
        }
        buffer.drain(..length);
        let path = head.line.split(' ').nth(1).unwrap_or_default().to_owned();
        let id = head.get("request-id").to_owned();
        let plain = |status: &str, extra: &str| {
            format!("HTTP/1.1 {status}\r\n{extra}Request-Id: {id}\r\nContent-Length: 0\r\n\r\n")
        };
        let expected = head.get("expect-instance");
        if path == "/health" {
            let answer = plain("200 OK", &format!("Instance-Id: {own}\r\n"));
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        if !expected.is_empty() && expected != own {
            note(
                record,
                &format!("turned away {id} at {own}: sent for {expected}"),
            );
            if stream
                .write_all(plain("421 Misdirected Request", "Not-Executed: 1\r\n").as_bytes())
                .is_err()
            {
                return;
            }
            continue;
        }
        note(record, &format!("run {id} at {own}"));
        if path.contains("/slow/") {
            sleep(ms(1_000));
        }
        let streams = path.starts_with("/draft/");
        let pieces = whole_body(&id, streams);
        let kind = if streams {
            "Content-Type: text/event-stream\r\n"
        } else {
            ""
        };
        let unframed = path.contains("/unframed/");
        let pause = match (unframed, streams) {
            (true, true) => ms(100),
            (true, false) => ms(2_000),
            _ => ms(0),
        };
        let framing = match unframed {
            // Ends with its connection.
            true => "Connection: close\r\n".to_owned(),
            false => format!(
                "Content-Length: {}\r\n",
                pieces.iter().map(Vec::len).sum::<usize>()
            ),
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{kind}{framing}Request-Id: {id}\r\nResponse-Stamp: stamp.{own}.{id}\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        for (number, piece) in pieces.iter().enumerate() {
            if number > 0 {
                sleep(pause);
            }
            if stream.write_all(piece).is_err() {
                return;
            }
        }
        note(record, &format!("whole answer written {id} at {own}"));
        if unframed {
            let _ = stream.shutdown(Shutdown::Write);
            return;
        }
    }
}

// --- Links ---------------------------------------------------------------------------------------

const PASS: u8 = 0;
/// Nothing passes, and no connection opens: what was sent before arrives once the link is back.
const CUT: u8 = 1;
/// What is sent is held up, and arrives when it is told to, though its sender may have ended.
const HOLD: u8 = 2;

/// A link in front of a listener.
#[derive(Clone)]
struct Link {
    mode: Arc<AtomicU8>,
    target: SocketAddr,
    held: Arc<Mutex<Vec<Vec<u8>>>>,
}

impl Link {
    fn new(own: SocketAddr, target: SocketAddr) -> Self {
        let listener =
            TcpListener::bind(own).unwrap_or_else(|e| cannot(&format!("bind {own}: {e}")));
        let link = Self {
            mode: Arc::new(AtomicU8::new(PASS)),
            target,
            held: Arc::default(),
        };
        let accepting = link.clone();
        spawn(move || {
            for near in listener.incoming().flatten() {
                let link = accepting.clone();
                spawn(move || link.carry(near));
            }
        });
        link
    }

    /// Delivers what was held up.
    fn deliver(&self, site: &Site) {
        for bytes in self.held.lock().unwrap().drain(..) {
            let status = call(self.target, &bytes, ms(1_000)).status;
            let text = String::from_utf8_lossy(&bytes);
            let first = text.lines().next().unwrap_or_default();
            site.note(&format!("held up until now: {first}, answered {status}"));
        }
    }

    fn set(&self, mode: u8) {
        self.mode.store(mode, Ordering::SeqCst);
    }

    fn mode(&self) -> u8 {
        self.mode.load(Ordering::SeqCst)
    }

    fn carry(&self, mut near: TcpStream) {
        if self.mode() == HOLD {
            let mut bytes = Vec::new();
            let _ = near.read_to_end(&mut bytes);
            self.held.lock().unwrap().push(bytes);
            return;
        }
        // During a cut a connection does not open; one that its caller gives up never did.
        while self.mode() == CUT {
            let _ = near.set_nonblocking(true);
            let ended = match near.peek(&mut [0]) {
                Ok(0) => true,
                Ok(_) => false,
                Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
            };
            if ended {
                return;
            }
            sleep(ms(10));
        }
        let _ = near.set_nonblocking(false);
        let Ok(far) = TcpStream::connect(self.target) else {
            // Nothing listens there: the caller's connection ends without an answer.
            return;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (near2, far2) = (near.try_clone().unwrap(), far.try_clone().unwrap());
        let link = self.clone();
        let back = spawn(move || link.pump(far2, near2));
        self.pump(near, far);
        let _ = back.join();
    }

    fn pump(&self, mut from: TcpStream, mut into: TcpStream) {
        let mut bytes = [0; 16 * 1024];
        loop {
            let read = from.read(&mut bytes);
            while self.mode() == CUT {
                sleep(ms(5));
            }
            match read {
                Ok(count) if count > 0 => {
                    if into.write_all(&bytes[..count]).is_err() {
                        let _ = from.shutdown(Shutdown::Both);
                        return;
                    }
                }
                // A close is passed on as a close, a round trip after what came before it.
                _ => {
                    sleep(ms(1));
                    let _ = into.shutdown(Shutdown::Write);
                    return;
                }
            }
        }
    }
}

// --- The site -------------------------------------------------------------------------------------

/// Processes to end, whatever happens.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

fn end_all() {
    let mut children = CHILDREN.lock().unwrap_or_else(|e| e.into_inner());
    for mut child in children.drain(..) {
        let _ = child.kill();
        let _ = child.wait();
    }
}

fn cannot(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    end_all();
    exit(2)
}

fn track(child: Child) -> u32 {
    let id = child.id();
    CHILDREN
        .lock()
        .unwrap_or_else(|e| e.into_inner())
        .push(child);
    id
}

/// Kills a process (SIGKILL) and waits for its end.
fn kill(id: u32) {
    let mut children = CHILDREN.lock().unwrap_or_else(|e| e.into_inner());
    if let Some(at) = children.iter().position(|child| child.id() == id) {
        let mut child = children.remove(at);
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Counts of one kind of request.
#[derive(Clone, Default)]
struct Kind {
    sent: Arc<AtomicU64>,
    served: Arc<AtomicU64>,
}

impl Kind {
    fn counts(&self) -> (f64, f64) {
        let get = |count: &AtomicU64| count.load(Ordering::SeqCst) as f64;
        (get(&self.sent), get(&self.served))
    }
}

struct Site {
    block: [u8; 2],
    folder: PathBuf,
    record: PathBuf,
    began: Instant,
    sent: AtomicU64,
    /// Number of control hosts that may be lost at once.
    tolerated: AtomicU64,
}

impl Site {
    fn new(record: &Path) -> Self {
        let record = record.to_owned();
        if let Err(error) = File::create(&record) {
            cannot(&format!("{}: {error}", record.display()));
        }
        let folder = std::env::temp_dir().join(format!("dunlinspring-rig-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap_or_else(|e| cannot(&e.to_string()));
        // A block of loopback addresses whose ports are free.
        let start = std::process::id();
        let block = (0..200).map(|n| start.wrapping_add(n * 977));
        let mut block = block.map(|n| [(n / 250 % 200 + 20) as u8, (n % 250 + 2) as u8]);
        let free = |block: &[u8; 2]| {
            (1..=30).all(|host| {
                let ip = Ipv4Addr::new(127, block[0], block[1], host);
                [INTERNAL, SERVED, READY, REPLICA, 9100]
                    .iter()
                    .all(|port| TcpListener::bind((ip, *port)).is_ok())
            })
        };
        let block = block
            .find(free)
            .unwrap_or_else(|| cannot("no free loopback addresses"));
        Self {
            block,
            folder,
            record,
            began: Instant::now(),
            sent: AtomicU64::new(0),
            tolerated: AtomicU64::new(1),
        }
    }

    fn at(&self, host: u8, port: u16) -> SocketAddr {
        (Ipv4Addr::new(127, self.block[0], self.block[1], host), port).into()
    }

    fn note(&self, line: &str) {
        let text = format!("{:8.3} s  {line}", self.began.elapsed().as_secs_f64());
        println!("{text}");
        note(&self.record, &text);
    }

    /// Starts a program of the deploy file on a host.
    fn start_node(&self, role: &str, host: u8, zone: &str, first: bool) -> u32 {
        let folder = self.folder.join(format!("{role}-{host}"));
        fs::create_dir_all(folder.join("data")).unwrap_or_else(|e| cannot(&e.to_string()));
        let data = match role {
            "control" => format!("\"{}\"", folder.join("data").display()),
            _ => "null".to_owned(),
        };
        let listen = match role {
            "control" => format!("{{\"Control\":\"{}\"}}", self.at(host, SERVED)),
            _ => format!(
                "{{\"Front\":\"{}\",\"Ready\":\"{}\"}}",
                self.at(host, SERVED),
                self.at(host, READY)
            ),
        };
        let seeds: Vec<String> = (1..=3)
            .map(|seed| format!("\"{}\"", self.at(seed, SERVED)))
            .collect();
        let class = if role == "control" { "core" } else { "front" };
        let settings = format!(
            "{{\"choice\":{{}},\"fleet\":{{}},\"agents\":false,\"platform\":{{\
             \"NodeName\":\"{class}-{host}\",\"Role\":\"{role}\",\"MachineClass\":\"{class}\",\
             \"Serves\":[\"{role}\"],\"Ip\":\"{ip}\",\"Zone\":\"{zone}\",\"Region\":\"{zone}\",\
             \"Zones\":{{\"hall-a\":\"region-a\",\"hall-b\":\"region-b\"}},\"Listen\":{listen},\
             \"InternalPorts\":[{INTERNAL},{last}],\"Seeds\":[{seeds}],\"Bootstrap\":{first},\
             \"InTolerance\":{core},\"DataDir\":{data},\"Discovery\":\"registry\",\"Entry\":\"vip\",\
             \"BeatIntervalMs\":1200,\"Tolerate\":{{\"Machines\":{tolerated},\"Zones\":0,\"Regions\":0}},\
             \"Bounds\":{{\"SeedLagS\":3,\"ReuseAfterS\":2,\"ContactMs\":3000,\"AckMs\":4000,\"CatchUpS\":4,\
             \"DrainMs\":2000,\"GraceS\":8,\"LossSlackMs\":200,\"ConfigApplyMs\":2000,\"RollbackSlackMs\":250,\
             \"MaxStretchMs\":5000,\"RetryBudgetRatio\":0.2,\"BudgetWindowS\":10,\"BudgetSlack\":52,\
             \"RecoverS\":12,\"PassMs\":120,\"RetryAfterS\":0,\"FencingRequired\":true,\"LeaseMs\":3000,\
             \"ThawMs\":300,\"CeilingWindowS\":5,\"CeilingOver\":1.1}},\"ConfigMode\":\"highest\"}}}}",
            ip = self.at(host, 0).ip(),
            last = INTERNAL + 15,
            seeds = seeds.join(","),
            core = role == "control",
            tolerated = self.tolerated.load(Ordering::SeqCst),
        );
        let path = folder.join("settings");
        fs::write(&path, settings).unwrap_or_else(|e| cannot(&e.to_string()));
        let log = File::create(folder.join("log")).unwrap_or_else(|e| cannot(&e.to_string()));
        let errors = log.try_clone().unwrap();
        let child = Command::new("target/release/dunlinspring-platform")
            .arg(role)
            .env_clear()
            .env("DUNLINSPRING_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        track(
            child.unwrap_or_else(|e| cannot(&format!("target/release/dunlinspring-platform: {e}"))),
        )
    }

    /// Empties the disk of a control host whose process has ended.
    fn wipe(&self, host: u8) {
        let data = self.folder.join(format!("control-{host}")).join("data");
        let wiped = fs::remove_dir_all(&data).and_then(|()| fs::create_dir_all(&data));
        wiped.unwrap_or_else(|e| cannot(&e.to_string()));
    }

    /// Starts a replica's stand-in at a host; `shown` is the address that it registers.
    fn start_replica(
        &self,
        host: u8,
        shown: SocketAddr,
        id: &str,
        service: &str,
        control: &[SocketAddr],
    ) -> u32 {
        let control: Vec<String> = control.iter().map(ToString::to_string).collect();
        let child = Command::new(std::env::current_exe().unwrap())
            .args([
                "replica",
                &self.at(host, REPLICA).to_string(),
                &shown.to_string(),
                id,
                service,
                "hall-b",
            ])
            .arg(&self.record)
            .arg(control.join(","))
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .spawn();
        self.note(&format!("replica {id} of {service} starts"));
        track(child.unwrap_or_else(|e| cannot(&e.to_string())))
    }

    /// Starts three control hosts with disks and an entry, and sends the configuration.
    fn start(&self, configuration: &str) -> SocketAddr {
        for host in 1..=3 {
            self.start_node("control", host, "hall-a", true);
        }
        self.start_node("entry", 4, "hall-a", true);
        let until = Instant::now() + ms(20_000);
        let acknowledged =
            |host| put(self.at(host, SERVED), "/config", configuration, ms(1_000)) == 200;
        while !(1..=3).any(acknowledged) {
            if Instant::now() > until {
                cannot("the first configuration was not acknowledged");
            }
            sleep(ms(200));
        }
        self.note("configuration acknowledged");
        self.at(4, SERVED)
    }

    fn control(&self) -> Vec<SocketAddr> {
        (1..=3).map(|host| self.at(host, SERVED)).collect()
    }

    /// Sends one request of a client; the id is new for each.
    fn request(
        &self,
        entry: SocketAddr,
        method: &str,
        path: &str,
        deadline: u64,
    ) -> (String, Answer) {
        let number = self.sent.fetch_add(1, Ordering::SeqCst);
        let id = format!("{number:016x}");
        let body = if method == "POST" {
            "Content-Length: 2\r\n"
        } else {
            ""
        };
        let rest = if method == "POST" { "{}" } else { "" };
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: api.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline}\r\n{body}\r\n{rest}"
        );
        let answer = call(entry, text.as_bytes(), ms(deadline));
        let (status, size) = (answer.status, answer.body.len());
        let end = if answer.complete {
            "complete"
        } else {
            "not complete"
        };
        note(
            &self.record,
            &format!("sent {id} {method} {path}, answered {status}, {size} bytes, {end}"),
        );
        (id, answer)
    }

    /// Sends lookups, ten a second, and returns how many were sent and served.
    fn lookups(&self, entry: SocketAddr, path: &str, time: Duration) -> (u32, u32) {
        let until = Instant::now() + time;
        let (mut sent, mut served) = (0, 0);
        let mut told: BTreeMap<u16, u32> = BTreeMap::new();
        while Instant::now() < until {
            let (id, answer) = self.request(entry, "GET", path, 1_500);
            let good = answer.status == 200
                && answer.stamped
                && answer.complete
                && answer.body == whole_body(&id, false).concat();
            sent += 1;
            served += u32::from(good);
            *told.entry(answer.status).or_default() += 1;
            sleep(ms(100));
        }
        self.note(&format!(
            "lookups {path}: {sent} sent, {served} served; statuses {told:?} (0: none)"
        ));
        (sent, served)
    }

    /// Sends requests of one kind, one after the other with a pause, until a time.
    fn send_kind(
        self: &Arc<Self>,
        entry: SocketAddr,
        path: &str,
        pause: u64,
        until: Instant,
    ) -> Kind {
        let kind = Kind::default();
        let (site, counts, path) = (self.clone(), kind.clone(), path.to_owned());
        spawn(move || {
            while Instant::now() < until {
                // A path that ends with a slash gets a name of its own for each request.
                let number = site.sent.load(Ordering::SeqCst);
                let path = match path.ends_with('/') {
                    true => format!("{path}{number:x}"),
                    false => path.clone(),
                };
                site.count(&counts, entry, &path);
                sleep(ms(pause));
            }
        });
        kind
    }

    /// Sends one request and counts it.
    fn count(&self, kind: &Kind, entry: SocketAddr, path: &str) {
        kind.sent.fetch_add(1, Ordering::SeqCst);
        let (id, answer) = self.request(entry, "GET", path, 1_500);
        let whole = answer.body == whole_body(&id, false).concat();
        if answer.status == 200 && answer.stamped && answer.complete && whole {
            kind.served.fetch_add(1, Ordering::SeqCst);
        }
    }

    /// Whether a kind is served under a quarter as often as all requests.
    fn is_starved(&self, name: &str, kind: &Kind, other_name: &str, other: &Kind) -> bool {
        let (sent, served) = kind.counts();
        let (other_sent, other_served) = other.counts();
        let all = (served + other_served) / (sent + other_sent);
        self.note(&format!("{name}: {sent} sent, {served} served"));
        self.note(&format!(
            "{other_name}: {other_sent} sent, {other_served} served"
        ));
        self.note(&format!(
            "{name} is served at {:.3}, all requests at {all:.3}",
            served / sent
        ));
        if other_served * 2.0 < other_sent {
            cannot("the other kind is not served either");
        }
        served / sent < all / 4.0
    }

    /// Waits until lookups are served.
    fn await_service(&self, entry: SocketAddr, path: &str, times: u32) {
        let until = Instant::now() + ms(20_000);
        let mut served = 0;
        while served < times {
            if Instant::now() > until {
                cannot("the site does not serve before the disruption");
            }
            let (_, answer) = self.request(entry, "GET", path, 1_500);
            served = if answer.status == 200 { served + 1 } else { 0 };
            sleep(ms(50));
        }
    }

    fn finish(&self, broken: bool, rule: &str) -> ! {
        self.note(&match broken {
            true => format!("{rule} was broken"),
            false => format!("{rule} held"),
        });
        if std::env::var_os("RIG_KEEP").is_none() {
            end_all();
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            end_all();
            println!("logs in {}", self.folder.display());
        }
        exit(i32::from(broken))
    }
}

const CONFIGURATION: &str = "{\"Version\":1,\"Routes\":[\
{\"Name\":\"page\",\"Host\":\"api.example\",\"PathPrefix\":\"/page/\",\"Kind\":\"safe\",\"TimeoutMs\":15000,\
\"TargetLatencyMs\":800,\"Priority\":2,\"Service\":\"register\",\"MaxAttempts\":2,\"Sticky\":false,\"Resumable\":false},\
{\"Name\":\"desk\",\"Host\":\"api.example\",\"PathPrefix\":\"/desk/\",\"Kind\":\"safe\",\"TimeoutMs\":15000,\
\"TargetLatencyMs\":800,\"Priority\":2,\"Service\":\"desk\",\"MaxAttempts\":2,\"Sticky\":false,\"Resumable\":false},\
{\"Name\":\"look\",\"Host\":\"api.example\",\"PathPrefix\":\"/look/\",\"Kind\":\"safe\",\"TimeoutMs\":15000,\
\"TargetLatencyMs\":800,\"Priority\":2,\"Service\":\"register\",\"MaxAttempts\":2,\"Sticky\":false,\"Resumable\":false},\
{\"Name\":\"draft\",\"Host\":\"api.example\",\"PathPrefix\":\"/draft/\",\"Kind\":\"streaming\",\"TimeoutMs\":15000,\
\"TargetLatencyMs\":800,\"Priority\":0,\"Service\":\"register\",\"MaxAttempts\":1,\"Sticky\":false,\"Resumable\":false,\
\"TargetGapMs\":400}],\
\"Services\":[{\"Name\":\"desk\",\"HealthPath\":\"/health\",\"MaxConns\":96,\"Protocol\":\"h1\",\"Tls\":false},\
{\"Name\":\"register\",\"HealthPath\":\"/health\",\"MaxConns\":96,\"Protocol\":\"h1\",\"Tls\":false}],\
\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";

// --- The cases -------------------------------------------------------------------------------------

/// A replica's answers end with their connections. Its link is cut, it crashes behind the cut and
/// starts again at its address, and the link comes back.
fn unframed(site: &Arc<Site>, trouble: bool) -> ! {
    let entry = site.start(CONFIGURATION);
    let mut links = Vec::new();
    // The struck replica is cut off from all machines: its heartbeats pass links of their own.
    let mut beats = Vec::new();
    let mut control = Vec::new();
    for host in 1..=3 {
        let shown = site.at(4 + host, SERVED);
        beats.push(Link::new(shown, site.at(host, SERVED)));
        control.push(shown);
    }
    let mut processes = Vec::new();
    for n in 0..3 {
        let (own, shown) = (site.at(11 + n, REPLICA), site.at(15 + n, REPLICA));
        links.push(Link::new(shown, own));
        let to = if n == 0 {
            control.clone()
        } else {
            site.control()
        };
        processes.push(site.start_replica(11 + n, shown, &format!("i-{n}-first"), "register", &to));
    }
    site.await_service(entry, "/look/plain/1", 20);
    let results = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for n in 0..16 {
        let (results, client) = (results.clone(), site.clone());
        clients.push(spawn(move || {
            let streams = n % 2 == 0;
            let (method, path) = match streams {
                true => ("POST", "/draft/unframed/1"),
                false => ("GET", "/look/unframed/1"),
            };
            let (id, answer) = client.request(entry, method, path, 12_000);
            results.lock().unwrap().push((id, streams, answer));
        }));
        sleep(ms(5));
    }
    site.note("16 requests under way: 8 streams, 8 lookups; each answer ends with its connection");
    sleep(ms(700));
    if trouble {
        site.note("i-0-first is cut off from all machines");
        beats.iter().for_each(|link| link.set(CUT));
        links[0].set(CUT);
        sleep(ms(300));
        kill(processes[0]);
        site.note("i-0-first has crashed behind the cut (SIGKILL)");
        sleep(ms(700));
        site.start_replica(11, site.at(15, REPLICA), "i-0-second", "register", &control);
        sleep(ms(1_300));
        links[0].set(PASS);
        beats.iter().for_each(|link| link.set(PASS));
        site.note("the link is back");
    }
    clients
        .into_iter()
        .for_each(|client| client.join().unwrap());
    let mut broken = 0;
    for (id, streams, answer) in results.lock().unwrap().iter() {
        let whole = whole_body(id, *streams).concat();
        let is_whole = answer.body == whole;
        let bad = answer.status == 200 && answer.complete && !is_whole;
        broken += u32::from(bad);
        site.note(&format!(
            "{id} {}: status {}, signature {}, {} to the client, {} of {} bytes{}",
            if *streams { "stream" } else { "lookup" },
            answer.status,
            if answer.stamped { "there" } else { "none" },
            if answer.complete { "complete" } else { "cut" },
            answer.body.len(),
            whole.len(),
            if bad {
                ": LOOKS COMPLETE AND IS NOT"
            } else {
                ""
            },
        ));
    }
    site.note(&format!("{broken} answers looked complete and were not"));
    site.finish(broken > 0, "MIXED")
}

/// Replicas are cut off from control, and from the entry, for longer than they are remembered.
fn forgotten(site: &Site, trouble: bool) -> ! {
    let entry = site.start(CONFIGURATION);
    let mut links = Vec::new();
    let mut control = Vec::new();
    for host in 1..=3 {
        let shown = site.at(4 + host, SERVED);
        links.push(Link::new(shown, site.at(host, SERVED)));
        control.push(shown);
    }
    for n in 0..3 {
        let (own, shown) = (site.at(11 + n, REPLICA), site.at(15 + n, REPLICA));
        links.push(Link::new(shown, own));
        site.start_replica(11 + n, shown, &format!("i-{n}"), "register", &control);
    }
    site.await_service(entry, "/look/plain/1", 10);
    let before = site.lookups(entry, "/look/plain/1", ms(5_000));
    if trouble {
        site.note("region-b, with the replicas, is cut off from region-a");
        links.iter().for_each(|link| link.set(CUT));
    }
    sleep(ms(36_000));
    links.iter().for_each(|link| link.set(PASS));
    site.note("the regions reach each other");
    sleep(RECOVER);
    let after = site.lookups(entry, "/look/plain/1", ms(25_000));
    if before.1 * 4 < before.0 {
        cannot("under a quarter was served before the disruption");
    }
    site.finish(after.1 * 4 < after.0, "RECOVER")
}

/// Replicas crash twice, one replica after the other. A cut holds up the first heartbeats of the
/// incarnations in between, which arrive once others have registered at their addresses.
fn late_beat(site: &Arc<Site>, trouble: bool) -> ! {
    let entry = site.start(CONFIGURATION);
    let start = |n: u8, life: &str, control: &[SocketAddr]| {
        let own = site.at(11 + n, REPLICA);
        site.start_replica(11 + n, own, &format!("i-{n}-{life}"), "register", control)
    };
    let first: Vec<u32> = (0..3).map(|n| start(n, "first", &site.control())).collect();
    for n in 14..16 {
        site.start_replica(
            n,
            site.at(n, REPLICA),
            &format!("d-{n}"),
            "desk",
            &site.control(),
        );
    }
    let mut links = Vec::new();
    let mut control = Vec::new();
    for host in 1..=3 {
        let shown = site.at(4 + host, SERVED);
        links.push(Link::new(shown, site.at(host, SERVED)));
        control.push(shown);
    }
    site.await_service(entry, "/look/plain/1", 3);
    site.await_service(entry, "/desk/plain/1", 3);
    let until = Instant::now() + ms(72_000);
    let looks = site.send_kind(entry, "/look/plain/", 200, until);
    let desks = site.send_kind(entry, "/desk/plain/", 50, until);
    sleep(ms(1_500));
    for (n, process) in (0..3).zip(first) {
        kill(process);
        site.note(&format!("replica {n} has crashed"));
        sleep(ms(600));
        if trouble {
            links.iter().for_each(|link| link.set(HOLD));
        }
        let second = start(n, "second", &control);
        sleep(ms(700));
        kill(second);
        site.note(&format!("replica {n} has crashed once more"));
        links.iter().for_each(|link| link.set(PASS));
        sleep(ms(600));
        start(n, "third", &control);
        sleep(ms(1_300));
        site.note("what a cut has held up arrives");
        links.iter().for_each(|link| link.deliver(site));
        sleep(ms(300));
    }
    sleep(until.saturating_duration_since(Instant::now()) + ms(2_000));
    site.finish(
        site.is_starved("lookups", &looks, "desk", &desks),
        "Starved",
    )
}

/// Two of five control hosts, as many as may be lost at once, lose their disks right after the first
/// configuration was acknowledged.
fn first_ack(site: &Site, trouble: bool) -> ! {
    site.tolerated.store(2, Ordering::SeqCst);
    let mut hosts = Vec::new();
    for host in 1..=5 {
        // All machines start within 0.3 s of each other, in any order.
        if host == 4 {
            sleep(ms(280));
        }
        hosts.push(site.start_node("control", host, "hall-a", true));
    }
    site.note("five control hosts have been started, three of them seeds");
    let until = Instant::now() + ms(20_000);
    let mut acknowledged_by = 0;
    while acknowledged_by == 0 {
        if Instant::now() > until {
            cannot("the first configuration was not acknowledged");
        }
        for host in 1..=3 {
            let to = site.at(host, SERVED);
            let status = put(to, "/config", CONFIGURATION, ms(1_000));
            let line = format!("configuration sent to {to}, answered {status} (0: nothing)");
            note(&site.record, &line);
            if status == 200 {
                acknowledged_by = host;
                break;
            }
        }
        sleep(ms(20));
    }
    // The host that acknowledged, and another seed.
    let lost = [acknowledged_by, acknowledged_by % 3 + 1];
    if trouble {
        for host in lost {
            kill(hosts[host as usize - 1]);
        }
    }
    site.note(&format!(
        "version 1 acknowledged by control host {acknowledged_by}"
    ));
    if trouble {
        site.note(&format!(
            "control hosts {lost:?} have lost their disks (SIGKILL)"
        ));
        sleep(ms(1_000));
        for host in lost {
            site.wipe(host);
            site.start_node("control", host, "hall-a", false);
        }
        site.note("they start again at their addresses, with empty disks");
    }
    sleep(ms(4_000));
    let mut told: BTreeMap<u16, u32> = BTreeMap::new();
    let mut read = false;
    for round in 0..25 {
        let to = site.at(round % 5 + 1, SERVED);
        let text = format!("GET /config HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\n\r\n");
        let answer = call(to, text.as_bytes(), ms(1_000));
        let line = format!(
            "GET /config at {to}, answered {} (0: nothing)",
            answer.status
        );
        note(&site.record, &line);
        *told.entry(answer.status).or_default() += 1;
        read |= answer.status == 200 && answer.body == CONFIGURATION.as_bytes();
        sleep(ms(500));
    }
    site.note(&format!(
        "25 reads of the configuration: statuses {told:?} (0: none)"
    ));
    site.finish(!read, "CONFIG")
}

/// Three of twelve replicas crash at the same moment, while all of them answer the same page, which
/// many clients ask for.
fn popular(site: &Arc<Site>, trouble: bool) -> ! {
    let entry = site.start(CONFIGURATION);
    let start = |n: u8, life: &str| {
        let own = site.at(11 + n, REPLICA);
        let id = format!("i-{n}-{life}");
        site.start_replica(11 + n, own, &id, "register", &site.control())
    };
    let processes: Vec<u32> = (0..12).map(|n| start(n, "first")).collect();
    site.await_service(entry, "/page/slow/popular", 3);
    let until = Instant::now() + ms(50_000);
    let looks = site.send_kind(entry, "/look/plain/", 100, until);
    // As many clients as a page that is looked at each full minute has.
    let pages = Kind::default();
    let mut clients = Vec::new();
    for _ in 0..36 {
        let (client, kind) = (site.clone(), pages.clone());
        clients.push(spawn(move || {
            client.count(&kind, entry, "/page/slow/popular")
        }));
    }
    sleep(ms(400));
    if trouble {
        (0..3).for_each(|n| kill(processes[n]));
        site.note("three replicas of twelve have crashed at the same moment (SIGKILL)");
    }
    sleep(ms(2_000));
    if trouble {
        (0..3).for_each(|n| {
            start(n, "second");
        });
        site.note("they start again");
    }
    for client in clients {
        let _ = client.join();
    }
    let later = site.send_kind(entry, "/page/slow/popular", 100, until);
    sleep(until.saturating_duration_since(Instant::now()) + ms(2_000));
    pages
        .sent
        .fetch_add(later.sent.load(Ordering::SeqCst), Ordering::SeqCst);
    pages
        .served
        .fetch_add(later.served.load(Ordering::SeqCst), Ordering::SeqCst);
    site.finish(
        site.is_starved("pages", &pages, "lookups", &looks),
        "Starved",
    )
}

/// One of five control hosts, of which two may be lost at once, is lost for good at the first start
/// of the site.
fn first_start(site: &Site, trouble: bool) -> ! {
    site.tolerated.store(2, Ordering::SeqCst);
    let mut control = Vec::new();
    for host in 1..=5 {
        let id = site.start_node("control", host, "hall-a", true);
        if trouble && host == 2 {
            sleep(ms(50));
            kill(id);
            site.note("control host 2, one of the three seeds, is lost for good (SIGKILL)");
        } else {
            control.push(site.at(host, SERVED));
        }
        sleep(ms(20));
    }
    site.start_node("entry", 6, "hall-a", true);
    site.note("all hosts have been started");
    let entry = site.at(6, SERVED);
    for n in 0..3 {
        let own = site.at(11 + n, REPLICA);
        site.start_replica(11 + n, own, &format!("i-{n}"), "register", &control);
    }
    let until = Instant::now() + ms(60_000);
    let mut tries = 0;
    let mut acknowledged = false;
    while Instant::now() < until && !acknowledged {
        let to = control[tries % control.len()];
        let status = put(to, "/config", CONFIGURATION, ms(1_000));
        note(
            &site.record,
            &format!("configuration sent to {to}, answered {status} (0: nothing)"),
        );
        acknowledged = status == 200;
        tries += 1;
        sleep(ms(200));
    }
    site.note(&format!(
        "first configuration acknowledged: {acknowledged}, after {tries} tries"
    ));
    sleep(ms(2_000));
    let after = site.lookups(entry, "/look/plain/1", ms(20_000));
    site.finish(after.1 == 0, "Fault (no request is served)")
}

/// A request for the head of a page that no route leads to, then one that a replica serves, on one
/// connection. The answer to the first has no body, as it must not.
fn head_alone(site: &Site, trouble: bool) -> ! {
    let entry = site.start(CONFIGURATION);
    for n in 0..3 {
        let own = site.at(11 + n, REPLICA);
        site.start_replica(11 + n, own, &format!("i-{n}"), "register", &site.control());
    }
    site.await_service(entry, "/look/plain/1", 10);
    let path = if trouble { "/never/1" } else { "/look/plain/1" };
    let Ok(mut stream) = TcpStream::connect(entry) else {
        cannot("the entry does not accept connections");
    };
    let _ = stream.set_read_timeout(Some(ms(1_500)));
    let request = |method: &str, path: &str, id: &str| {
        format!("{method} {path} HTTP/1.1\r\nHost: api.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 1500\r\n\r\n")
    };
    let _ = stream.write_all(request("HEAD", path, "aaaa").as_bytes());
    let mut buffer = Vec::new();
    let first = read_head(&mut stream, &mut buffer);
    sleep(ms(300));
    let _ = stream.write_all(request("GET", "/look/plain/1", "bbbb").as_bytes());
    let second = read_head(&mut stream, &mut buffer);
    let line = |head: &Option<Head>| {
        head.as_ref()
            .map_or_else(String::new, |head| head.line.clone())
    };
    site.note(&format!("HEAD {path}: {:?}", line(&first)));
    site.note(&format!(
        "GET /look/plain/1, next on the connection: {:?}",
        line(&second)
    ));
    site.finish(!line(&second).starts_with("HTTP/1.1 "), "MIXED")
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args.first().map(String::as_str) {
        Some("replica") => replica(&args[1..]),
        Some("case") if args.len() == 4 => {
            spawn(|| {
                sleep(LIMIT);
                cannot("it took too long");
            });
            std::panic::set_hook(Box::new(|panic| cannot(&panic.to_string())));
            let site = Arc::new(Site::new(Path::new(&args[2])));
            let trouble = args[3] != "0";
            site.note(&format!("case {}, with its disruption: {trouble}", args[1]));
            match args[1].as_str() {
                "unframed" => unframed(&site, trouble),
                "forgotten" => forgotten(&site, trouble),
                "first-start" => first_start(&site, trouble),
                "head" => head_alone(&site, trouble),
                "popular" => popular(&site, trouble),
                "first-ack" => first_ack(&site, trouble),
                "late-beat" => late_beat(&site, trouble),
                other => cannot(&format!("no case {other}")),
            }
        }
        _ => {
            eprintln!("usage: rig case NAME RECORD TROUBLE");
            exit(2);
        }
    }
}
