//! A stand-in of a runner, as a process of its own, so that it can be killed. Its answers carry no length and finish when
//! their connection does, but for those to uploads.

use crate::http::Reader;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// The events of a stream, and the pause between two of them.
pub const STREAM_EVENTS: usize = 24;
pub const STREAM_GAP: Duration = Duration::from_millis(40);
/// The parts of a plain answer, and the pause between two of them.
pub const PLAIN_PARTS: usize = 2;
pub const PLAIN_GAP: Duration = Duration::from_millis(60);

/// The parts of the whole body of an answer; the last one says so.
pub fn parts(path: &str, id: &str) -> (Vec<String>, Duration) {
    if path.starts_with("/stream/") {
        let event = |number| {
            let last = if number == STREAM_EVENTS { " last" } else { "" };
            format!("id: {number}\ndata: {id} event {number} of {STREAM_EVENTS}{last}\n\n")
        };
        return ((1..=STREAM_EVENTS).map(event).collect(), STREAM_GAP);
    }
    let part = |number| format!("{id} part {number} of {PLAIN_PARTS}, {}\n", "x".repeat(380));
    ((1..=PLAIN_PARTS).map(part).collect(), PLAIN_GAP)
}

/// Runs a runner with this id at this address until it is killed.
pub fn run(address: &str, id: &str) {
    let listener = TcpListener::bind(address).expect("the runner cannot listen");
    println!("listening");
    for stream in listener.incoming().flatten() {
        let id = id.to_owned();
        thread::spawn(move || serve(stream, &id));
    }
}

fn serve(stream: TcpStream, own_id: &str) {
    let _ = stream.set_nodelay(true);
    let mut reader = Reader::new(stream);
    while let Ok(Some(request)) = reader.request() {
        let own = format!("Barleyspool-Instance-Id: {own_id}\r\n");
        if request.path() == "/health" {
            let answer = format!("HTTP/1.1 200 OK\r\n{own}Content-Length: 0\r\n\r\n");
            if reader.stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let call = request
            .header("barleyspool-attempt-id")
            .unwrap_or_default()
            .to_owned();
        let expected = request.header("barleyspool-expect-instance");
        if expected.is_some_and(|expected| expected != own_id) {
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\n{own}Barleyspool-Attempt-Id: {call}\r\nBarleyspool-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            if reader.stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{own}Barleyspool-Attempt-Id: {call}\r\nBarleyspool-Response-Seal: {own_id}.{call}\r\nConnection: close\r\n\r\n"
        );
        println!("run {call}");
        if request.path().starts_with("/upload/") {
            thread::sleep(PLAIN_GAP);
            let body = format!("{call} {} bytes\n", request.body.len());
            let answer = format!(
                "HTTP/1.1 200 OK\r\n{own}Barleyspool-Attempt-Id: {call}\r\nBarleyspool-Response-Seal: {own_id}.{call}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if reader.stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            println!("whole {call}");
            continue;
        }
        let (parts, gap) = parts(request.path(), &call);
        let count = parts.len();
        let mut text = head;
        for (number, part) in parts.into_iter().enumerate() {
            text.push_str(&part);
            if reader.stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            text.clear();
            if number + 1 < count {
                thread::sleep(gap);
            }
        }
        println!("whole {call}");
        return;
    }
}
