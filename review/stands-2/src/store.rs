//! The platform's store: range reads and watches over items that the case writes.

use crate::http::Link;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// The items of a page, as in the site file of the fleet.
const PAGE: usize = 200;

/// How long an answer takes, as the sheet of the site says.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (String, u64)>,
    /// Revision, key, and the value in base64; `None` when the key was removed.
    changes: Vec<(u64, String, Option<String>)>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            address: listener.local_addr().expect("an address"),
            shared: Arc::default(),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(Link::new(stream)));
            }
        });
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        self.change(key, Some(base64(value.as_bytes())));
    }

    /// Writes an entry that counts as unchanged: readers see it, and watches hear nothing of it.
    pub fn put_unchanged(&self, key: &str, value: &str) {
        let mut state = self.shared.0.lock().expect("the lock");
        if !state.items.contains_key(key) {
            return;
        }
        state.revision += 1;
        let revision = state.revision;
        let item = (base64(value.as_bytes()), revision);
        state.items.insert(key.to_owned(), item);
    }

    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    fn change(&self, key: &str, value: Option<String>) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("the lock");
        state.revision += 1;
        let revision = state.revision;
        match &value {
            Some(value) => {
                state.items.insert(key.to_owned(), (value.clone(), revision));
            }
            None => {
                state.items.remove(key);
            }
        }
        state.changes.push((revision, key.to_owned(), value));
        changed.notify_all();
    }

    fn serve(&self, mut link: Link) {
        while let Some(request) = link.request() {
            let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
            let field = |name: &str| {
                let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value)
            };
            let (status, body) = match path {
                "/kv-range" => ("200 OK", self.range(field("pathPrefix"), field("sinceRevision"))),
                "/kv-watch" => {
                    let wait = field("waitMs").parse().unwrap_or(0u64).min(30_000);
                    let since = field("sinceRevision").parse().unwrap_or(0);
                    (
                        "200 OK",
                        self.watch(field("pathPrefix"), since, Duration::from_millis(wait)),
                    )
                }
                _ => ("404 Not Found", String::new()),
            };
            std::thread::sleep(ANSWER_TIME);
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if !link.write(head.as_bytes()) {
                return;
            }
        }
    }

    /// A page of the items after a key.
    fn range(&self, prefix: &str, after: &str) -> String {
        let after = percent_decoded(after);
        let state = self.shared.0.lock().expect("the lock");
        let mut items: Vec<String> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && **key > after)
            .take(PAGE + 1)
            .map(|(key, (value, revision))| item(key, value, *revision))
            .collect();
        let more = items.len() > PAGE;
        items.truncate(PAGE);
        format!(
            "{{\"items\":[{}],\"more\":{more},\"at\":{}}}",
            items.join(","),
            state.revision
        )
    }

    /// The changes after a revision, as soon as there are any.
    fn watch(&self, prefix: &str, since: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let (lock, changed) = &*self.shared;
        let mut state = lock.lock().expect("the lock");
        loop {
            let events: Vec<String> = state
                .changes
                .iter()
                .filter(|(revision, key, _)| *revision > since && key.starts_with(prefix))
                .map(|(revision, key, value)| match value {
                    Some(value) => item(key, value, *revision),
                    None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"gone\":true}}"),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.revision);
            }
            state = changed.wait_timeout(state, left).expect("the lock").0;
        }
    }
}

fn item(key: &str, value: &str, revision: u64) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"made\":{revision},\"lease\":0}}"
    )
}

fn percent_decoded(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        let code = after.get(..2).and_then(|code| std::str::from_utf8(code).ok());
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) if *first == b'%' => {
                bytes.push(byte);
                rest = &after[2..];
            }
            _ => {
                bytes.push(*first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut word = 0u32;
        for place in 0..3 {
            word = word << 8 | u32::from(*group.get(place).unwrap_or(&0));
        }
        for place in 0..4 {
            if place <= group.len() {
                text.push(SIGNS[(word >> (18 - 6 * place)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
