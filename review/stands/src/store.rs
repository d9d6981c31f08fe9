//! A stand-in for the platform's store: items, range reads and watches.

use crate::http;
use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

struct Item {
    /// The value in base64.
    value: String,
    /// The value without the sequence.
    content: String,
    revision: u64,
    made: u64,
}

struct Event {
    key: String,
    revision: u64,
    /// The JSON of the event.
    json: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(address: &str) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let store = Self {
            address: listener.local_addr()?,
            shared: Arc::default(),
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an item. Watches report it unless nothing but the `sequence` of an entry has changed.
    pub fn put(&self, key: &str, value: &str) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        let content = value.split(",\"sequence\":").next().unwrap_or("").to_owned();
        let notify = state.items.get(key).is_none_or(|item| item.content != content);
        state.revision += 1;
        let revision = state.revision;
        let made = state.items.get(key).map_or(revision, |item| item.made);
        let item = Item {
            value: base64(value.as_bytes()),
            content,
            revision,
            made,
        };
        if notify {
            let json = item_json(key, &item);
            state.events.push(Event {
                key: key.to_owned(),
                revision,
                json,
            });
        }
        state.items.insert(key.to_owned(), item);
        changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.items.remove(key);
        state.events.push(Event {
            key: key.to_owned(),
            revision,
            json: format!("{{\"key\":\"{key}\",\"revision\":{revision},\"gone\":true}}"),
        });
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            let (path, query) = head.path().split_once('?').unwrap_or((head.path(), ""));
            let field = |name: &str| {
                let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs
                    .into_iter()
                    .find(|(key, _)| *key == name)
                    .map_or("", |(_, value)| value)
            };
            let (status, body) = match path {
                "/kv-range" => ("200 OK", self.range(field("pathPrefix"), field("sinceRevision"))),
                "/kv-watch" => {
                    let since = field("sinceRevision").parse().unwrap_or(0);
                    let wait = field("waitMs").parse().unwrap_or(0);
                    (
                        "200 OK",
                        self.watch(field("pathPrefix"), since, Duration::from_millis(wait)),
                    )
                }
                _ => ("404 Not Found", "{}".to_owned()),
            };
            let json = ("Content-Type", "application/json");
            if http::answer(&mut writer, status, &[json], body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let state = self.shared.0.lock().unwrap();
        let items = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<String> = items.map(|(key, item)| item_json(key, item)).collect();
        format!(
            "{{\"items\":[{}],\"more\":false,\"at\":{}}}",
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, prefix: &str, since: u64, wait: Duration) -> String {
        let (state, changed) = &*self.shared;
        let until = Instant::now() + wait;
        let mut state = state.lock().unwrap();
        loop {
            let events = state.events.iter();
            let events = events.filter(|event| event.revision > since && event.key.starts_with(prefix));
            let events: Vec<&str> = events.map(|event| event.json.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.revision);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"made\":{},\"lease\":0}}",
        item.value, item.revision, item.made
    )
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let bits = (0..3).fold(0u32, |bits, index| {
            bits << 8 | u32::from(*group.get(index).unwrap_or(&0))
        });
        for index in 0..4 {
            let sign = SIGNS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= group.len() { sign as char } else { '=' });
        }
    }
    text
}
