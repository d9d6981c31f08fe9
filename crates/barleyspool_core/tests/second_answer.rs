//! Finds the head of another answer in a body, however the body arrives.

#![allow(clippy::unwrap_used, reason = "a test stops where it fails")]

use barleyspool_core::{SecondAnswer, has_status_line};
use quickcheck::{TestResult, quickcheck};

const MARKS: [&str; 2] = ["x-id", "x-seal"];

/// What a body of these parts is.
#[derive(Debug, PartialEq, Eq)]
enum Found {
    /// It is one answer.
    Whole,
    /// Another answer begins in it.
    Second,
    /// Its end begins another answer.
    Cut,
}

/// Reads a body in parts, and also returns how many bytes precede another answer at most.
fn read(parts: &[&[u8]]) -> (Found, usize) {
    let mut second = SecondAnswer::new(&MARKS, false);
    let mut before = 0;
    for part in parts {
        if let Some(end) = second.find(part) {
            return (Found::Second, before + end);
        }
        before += part.len();
    }
    let found = if second.is_cut() { Found::Cut } else { Found::Whole };
    (found, before)
}

/// Reads a body in one part, in two parts cut at every byte, and byte by byte; all must agree.
fn read_all_ways(body: &[u8]) -> Found {
    let (found, end) = read(&[body]);
    for cut in 0..=body.len() {
        let (first, rest) = body.split_at(cut);
        let (in_two, passed) = read(&[first, rest]);
        assert_eq!(in_two, found, "cut at {cut}");
        // Part of the head may have been passed on before it was known to be one.
        assert!(passed >= end, "cut at {cut}: {passed} of {end}");
    }
    let bytes: Vec<&[u8]> = body.chunks(1).collect();
    assert_eq!(read(&bytes).0, found, "byte by byte");
    found
}

// Guards against a second answer that is taken for a part of the body before it.
#[test]
fn the_head_of_another_answer_is_found_in_a_body() {
    for head in [
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.0 500 Internal Server Error\r\n\r\n",
        "HTTP/1.1 200\r\nServer: t\r\n\r\n",
        "HTTP/1.1 200 OK\nX-Id: c1\n\nok",
        "HTTP/1.1 200 OK\nServer: t\nx-seal: s\n\nok",
    ] {
        for body in [
            "",
            "the body",
            "HTTP/1.",
            "HTTP/1.1 is older\n",
            "H",
            "HTTP/1.1 2",
        ] {
            let all = format!("{body}{head}");
            assert_eq!(read_all_ways(all.as_bytes()), Found::Second, "{all:?}");
            let (_, end) = read(&[all.as_bytes()]);
            assert_eq!(end, body.len(), "{all:?}");
        }
    }
}

// Guards against the beginning of a second answer, which was cut off, at the end of a body that looks whole.
#[test]
fn the_beginning_of_another_answer_is_found_at_the_end_of_a_body() {
    let head = "HTTP/1.1 200 OK\r\n";
    for end in "HTTP/".len()..=head.len() {
        let body = format!("the body{}", &head[..end]);
        assert_eq!(read_all_ways(body.as_bytes()), Found::Cut, "{body:?}");
    }
}

// Guards against texts about HTTP that are taken for second answers.
#[test]
fn texts_about_http_are_whole() {
    for body in [
        "",
        "H",
        "HTTP",
        "HTTP/1.1 200 OK\nContent-Length: 5\n\nhello",
        "HTTP/1.1 200 OK\nContent-Length: 5\n",
        "HTTP/1.1 200 OK is a status line\r\nand this is none\r\n",
        "HTTP/1.1 2000\r\nServer: t\r\n\r\n",
        "HTTP/1.1 020 OK\r\nServer: t\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
        "HTTP/2 200 OK\r\nServer: t\r\n\r\n",
        "HTTP/1.1 200 OK\r\n: t\r\n",
    ] {
        assert_eq!(read_all_ways(body.as_bytes()), Found::Whole, "{body:?}");
    }
}

// Guards against a body with a length that another answer completes, and against texts with a length that are taken for answers.
#[test]
fn only_marked_heads_count_in_a_body_that_is_framed() {
    for (head, is_answer) in [
        ("HTTP/1.1 200 OK\r\nServer: t\r\nX-Id: c1\r\n", true),
        ("HTTP/1.1 200 OK\nServer: HTTP/1.1 200 OK\r\nx-seal: s", true),
        ("HTTP/1.1 200 OK\r\nServer: t\r\n\r\n", false),
        ("HTTP/1.1 200 OK\nX-Id: c1\n\n", false),
    ] {
        let mut second = SecondAnswer::new(&MARKS, true);
        assert_eq!(second.find(head.as_bytes()).is_some(), is_answer, "{head:?}");
    }
}

// Guards against a head that is taken for text since its first header is long.
#[test]
fn a_head_with_a_long_header_is_found() {
    let head = format!("HTTP/1.1 200 OK\r\nServer: {}\r\n\r\n", "t".repeat(5000));
    assert_eq!(read_all_ways(head.as_bytes()), Found::Second);
}

// Guards against a long line behind a status line that is searched again with each part, and kept in memory.
#[test]
fn a_long_text_behind_a_status_line_is_whole() {
    let body = format!("HTTP/1.1 200 {}", "a".repeat(100_000));
    let parts: Vec<&[u8]> = body.as_bytes().chunks(100).collect();
    assert_eq!(read(&parts).0, Found::Whole);
}

// Guards against a head that is missed behind a text with another one.
#[test]
fn a_head_behind_or_within_a_text_about_http_is_found() {
    let head = "HTTP/1.1 200 OK\r\nServer: t\r\n\r\n";
    for text in [
        "HTTP/1.1 200 OK\nContent-Length: 5\n\nhello\n",
        "HTTP/1.1 200 OK\nContent-Length: 5",
        "HTTP/1.1 200 OK\nServer: ",
        "HTTP/1.1 200 OK\nServer: HTTP/1.1 404 Not Found\nServer: t\n",
        "HTTP/1.1 HTTP/1.1 200",
    ] {
        let body = format!("{text}{head}");
        assert_eq!(read_all_ways(body.as_bytes()), Found::Second, "{body:?}");
    }
}

// Guards against a body that is searched again for each of many status lines in it, which takes the time of other calls: a connection
// reads 16 KB in one go, which may take 2 ms here, on a busy machine and without optimizations.
#[test]
fn many_status_lines_are_searched_in_little_time() {
    for line in ["HTTP/1.1 200 ", "HTTP/1.1 200 OK\na: ", "a: HTTP/1.1 200 OK\n"] {
        let body = line.repeat((16 << 20) / line.len());
        let parts: Vec<&[u8]> = body.as_bytes().chunks(16 << 10).collect();
        let begun = std::time::Instant::now();
        read(&parts);
        let took = begun.elapsed();
        assert!(took < std::time::Duration::from_secs(2), "{line:?}: {took:?}");
    }
}

#[test]
fn a_status_line_is_found_in_the_value_of_a_header() {
    assert!(has_status_line(b"s.1HTTP/1.1 500 Failed"));
    assert!(has_status_line(b"HTTP/1.0 200"));
    assert!(!has_status_line(b"HTTP/1.1 proxy"));
    assert!(!has_status_line(b"1.1 200"));
    assert!(!has_status_line(b"HTTP/1.1 20"));
}

quickcheck! {
    // Guards against heads that are missed because of how the bytes of a body arrive.
    fn another_answer_is_found_however_the_body_arrives(body: Vec<u8>, sizes: Vec<u8>) -> TestResult {
        if read(&[&body]).0 != Found::Whole {
            return TestResult::discard();
        }
        let mut all = body;
        let length = all.len();
        all.extend_from_slice(b"HTTP/1.1 200 OK\r\nX-Id: c1\r\n\r\nok");
        let mut parts: Vec<&[u8]> = Vec::new();
        let mut rest = &all[..];
        for size in sizes {
            let (part, left) = rest.split_at(rest.len().min(usize::from(size)));
            parts.push(part);
            rest = left;
        }
        parts.push(rest);
        let (found, end) = read(&parts);
        TestResult::from_bool(found == Found::Second && end >= length)
    }
}
