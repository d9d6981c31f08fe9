//! Runners of a stage and model runners, each in a process of its own. They print what arrives and what they run.

use crate::http::{Link, Message};
use crate::target::say;
use std::collections::{HashMap, VecDeque};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Gives slots in the order of arrival.
#[derive(Default)]
struct Line {
    state: Mutex<(u32, VecDeque<u64>, u64)>,
    changed: Condvar,
}

impl Line {
    /// Waits for a slot; false at once when `queue` others wait already.
    fn enter(&self, slots: u32, queue: usize) -> bool {
        let mut state = self.state.lock().expect("the lock");
        if state.0 >= slots && state.1.len() >= queue {
            return false;
        }
        state.2 += 1;
        let ticket = state.2;
        state.1.push_back(ticket);
        while state.0 >= slots || state.1.front() != Some(&ticket) {
            state = self.changed.wait(state).expect("the lock");
        }
        state.1.pop_front();
        state.0 += 1;
        self.changed.notify_all();
        true
    }

    fn leave(&self) {
        self.state.lock().expect("the lock").0 -= 1;
        self.changed.notify_all();
    }
}

fn answer(link: &mut Link, status: &str, headers: &str, body: &str) -> bool {
    let length = body.len();
    link.write(format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}").as_bytes())
}

/// Answers a request that is meant for another runner, or asks for the health; `None` for others.
fn answer_common(link: &mut Link, request: &Message, id: &str) -> Option<bool> {
    if request
        .header("barleyspool-expect-instance")
        .is_some_and(|expected| expected != id)
    {
        let headers = format!("Barleyspool-Instance-Id: {id}\r\nBarleyspool-Not-Executed: 1\r\n");
        return Some(answer(link, "421 Misdirected Request", &headers, ""));
    }
    if request.target().starts_with("/health") {
        return Some(answer(
            link,
            "200 OK",
            &format!("Barleyspool-Instance-Id: {id}\r\n"),
            "",
        ));
    }
    None
}

// ----------------------------------------------------------------------------
// Runners of a stage

/// A runner of a stage: one call at a time, two may wait.
pub fn run_stage(id: &str, call: Duration, item: Duration, keep: Duration) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    say(&address);
    let line = Arc::new(Line::default());
    let results: Arc<Mutex<(u64, HashMap<String, Instant>)>> = Arc::default();
    for stream in listener.incoming().flatten() {
        let (id, address) = (id.to_owned(), address.clone());
        let (line, results) = (Arc::clone(&line), Arc::clone(&results));
        std::thread::spawn(move || {
            let mut link = Link::new(stream);
            while let Some(request) = link.request() {
                let text = request.text();
                let sent = match (answer_common(&mut link, &request, &id), request.target()) {
                    (Some(sent), _) => sent,
                    (None, "/stage-run") => {
                        if !line.enter(1, 2) {
                            if !answer(
                                &mut link,
                                "503 Service Unavailable",
                                "Barleyspool-Not-Executed: 1\r\n",
                                "",
                            ) {
                                return;
                            }
                            continue;
                        }
                        let count = text.matches("\"id\":").count() as u32;
                        std::thread::sleep(call + item * count);
                        let mut held = results.lock().expect("the lock");
                        let mut items = Vec::new();
                        for _ in 0..count {
                            held.0 += 1;
                            let handle = format!("{address}/{:x}", held.0 * 0x9e37 + 0x5c1e_0000);
                            items.push(format!("{{\"handle\":\"{handle}\"}}"));
                            held.1.insert(handle, Instant::now() + keep);
                        }
                        drop(held);
                        line.leave();
                        let body = format!("{{\"items\":[{}]}}", items.join(","));
                        answer(&mut link, "200 OK", "Content-Type: application/json\r\n", &body)
                    }
                    (None, "/stage-free") => {
                        let mut held = results.lock().expect("the lock");
                        for handle in text.split('"').filter(|part| part.contains('/')) {
                            held.1.remove(handle);
                        }
                        drop(held);
                        answer(&mut link, "200 OK", "", "")
                    }
                    // How a runner of this case fetches a result from another one.
                    (None, target) => {
                        let handle = target.trim_start_matches("/result/");
                        let held = results.lock().expect("the lock");
                        let is_held = held.1.get(handle).is_some_and(|until| Instant::now() < *until);
                        drop(held);
                        answer(
                            &mut link,
                            if is_held { "200 OK" } else { "404 Not Found" },
                            "",
                            "",
                        )
                    }
                };
                if !sent {
                    return;
                }
            }
        });
    }
}

// ----------------------------------------------------------------------------
// Model runners

/// A model runner. Requests that find no slot wait; the inputs of a request are fetched when its turn comes, before its prompt
/// is read.
pub fn run_model(id: &str, slots: u32, queue: usize, work: Duration) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    say(&listener.local_addr().expect("an address").to_string());
    let line = Arc::new(Line::default());
    for stream in listener.incoming().flatten() {
        let (id, line) = (id.to_owned(), Arc::clone(&line));
        std::thread::spawn(move || {
            let mut link = Link::new(stream);
            while let Some(request) = link.request() {
                let sent = match answer_common(&mut link, &request, &id) {
                    Some(sent) => sent,
                    None => serve_model(&mut link, &request, &id, &line, (slots, queue, work)),
                };
                if !sent {
                    return;
                }
            }
        });
    }
}

fn serve_model(
    link: &mut Link,
    request: &Message,
    id: &str,
    line: &Line,
    options: (u32, usize, Duration),
) -> bool {
    let (slots, queue, work) = options;
    let attempt = request.header("barleyspool-attempt-id").unwrap_or("").to_owned();
    let refusal = format!("Barleyspool-Attempt-Id: {attempt}\r\nBarleyspool-Not-Executed: 1\r\n");
    let Some(inputs) = request
        .header("barleyspool-inputs")
        .filter(|_| !attempt.is_empty())
    else {
        return answer(link, "400 Bad Request", &refusal, "");
    };
    say(&format!("ARRIVED {attempt}"));
    if !line.enter(slots, queue) {
        say(&format!("FULL {attempt}"));
        return answer(link, "503 Service Unavailable", &refusal, "");
    }
    if !inputs.split(',').all(fetch) {
        line.leave();
        say(&format!("GONE {attempt}"));
        return answer(link, "409 Conflict", &refusal, "");
    }
    say(&format!("RUN {attempt}"));
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nBarleyspool-Attempt-Id: {attempt}\r\nBarleyspool-Response-Seal: {id}.{attempt}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let mut sent = true;
    for number in 1..=4u32 {
        std::thread::sleep(work / 4);
        let event = crate::target::event_of(&attempt, number);
        let part = format!("{:x}\r\n{event}\r\n", event.len());
        let part = if number == 1 {
            format!("{head}{part}")
        } else {
            part
        };
        sent = sent && link.write(part.as_bytes());
    }
    line.leave();
    sent && link.write(b"0\r\n\r\n")
}

/// Fetches a result from the runner that holds it.
fn fetch(handle: &str) -> bool {
    let Some((address, _)) = handle.split_once('/') else {
        return false;
    };
    let Ok(stream) = TcpStream::connect(address) else {
        return false;
    };
    let mut link = Link::new(stream);
    let request = format!("GET /result/{handle} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    link.write(request.as_bytes()) && link.answer().is_some_and(|answer| answer.status() == 200)
}
