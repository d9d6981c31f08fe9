//! A stand-in of the platform's store: range reads and watches over items in memory, each change with a new revision.

use crate::http::{Message, Reader};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Default)]
struct Items {
    revision: u64,
    present: BTreeMap<String, (String, u64)>,
    gone: BTreeMap<String, u64>,
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<Items>, Condvar)>);

impl Store {
    /// Starts a store and returns it with its address.
    pub fn start(ip: &str) -> (Self, String) {
        let listener = TcpListener::bind((ip, 0)).expect("the store cannot listen");
        let address = listener.local_addr().expect("no address").to_string();
        let store = Self::default();
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        (store, address)
    }

    pub fn put(&self, key: &str, json: &str) {
        let mut items = self.0.0.lock().expect("poisoned");
        items.revision += 1;
        let revision = items.revision;
        items.gone.remove(key);
        items
            .present
            .insert(key.to_owned(), (base64(json.as_bytes()), revision));
        self.0.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut items = self.0.0.lock().expect("poisoned");
        items.revision += 1;
        let revision = items.revision;
        if items.present.remove(key).is_some() {
            items.gone.insert(key.to_owned(), revision);
        }
        self.0.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.request() {
            let body = self.answer(&request);
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            thread::sleep(Duration::from_millis(4));
            if reader.stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> String {
        let path = request.path();
        let query = |name: &str| {
            let (_, query) = path.split_once('?')?;
            let mut pairs = query.split('&');
            pairs.find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
        };
        let prefix = query("pathPrefix").unwrap_or_default();
        let since = query("sinceRevision").unwrap_or_default();
        if path.starts_with("/kv-range") {
            let items = self.0.0.lock().expect("poisoned");
            let wanted = items.present.iter();
            let wanted = wanted.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > since);
            let list: Vec<String> = wanted.map(|(key, item)| item_json(key, item)).collect();
            return format!(
                "{{\"items\":[{}],\"more\":false,\"at\":{}}}",
                list.join(","),
                items.revision
            );
        }
        let since: u64 = since.parse().unwrap_or(0);
        let wait: u64 = query("waitMs").and_then(|wait| wait.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut items = self.0.0.lock().expect("poisoned");
        loop {
            let mut events: Vec<(u64, String)> = Vec::new();
            for (key, item) in &items.present {
                if key.starts_with(prefix) && item.1 > since {
                    events.push((item.1, item_json(key, item)));
                }
            }
            for (key, revision) in &items.gone {
                if key.starts_with(prefix) && *revision > since {
                    events.push((
                        *revision,
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"gone\":true}}"),
                    ));
                }
            }
            events.sort();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events: Vec<String> = events.into_iter().map(|(_, event)| event).collect();
                return format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), items.revision);
            }
            items = self.0.1.wait_timeout(items, left).expect("poisoned").0;
        }
    }
}

fn item_json(key: &str, (value, revision): &(String, u64)) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"made\":{revision},\"lease\":0}}"
    )
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let joined = three
            .iter()
            .fold(0_u32, |joined, byte| joined << 8 | u32::from(*byte))
            << (8 * (3 - three.len()));
        for place in 0..4 {
            if place <= three.len() {
                let sign = SIGNS[(joined >> (18 - 6 * place) & 63) as usize];
                let _ = write!(text, "{}", sign as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
