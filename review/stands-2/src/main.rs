//! The stand-ins and cases of the second review: `review-2 case N FOLDER` plays a case and writes its record into FOLDER,
//! `review-2 target ...` is a runner that a case starts.

mod case_4;
mod case_5;
mod case_6;
mod case_7;
mod case_8;
mod fleet;
mod http;
mod stages;
mod store;
mod target;

use fleet::Record;
use std::path::Path;
use std::time::Duration;

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["target", id, unframed, work_ms, events, port] => target::run(target::Options {
            id: (*id).to_owned(),
            unframed: unframed.parse().unwrap_or(0),
            events: events.parse().unwrap_or(0),
            port: port.parse().unwrap_or(0),
            work: Duration::from_millis(work_ms.parse().unwrap_or(0)),
        }),
        ["stage", id, call_ms, item_ms, keep_ms] => {
            let ms = |text: &str| Duration::from_secs_f64(text.parse().unwrap_or(0.0) / 1000.0);
            stages::run_stage(id, ms(call_ms), ms(item_ms), ms(keep_ms));
        }
        ["model", id, slots, queue, work_ms] => {
            let work = Duration::from_millis(work_ms.parse().unwrap_or(0));
            stages::run_model(id, slots.parse().unwrap_or(1), queue.parse().unwrap_or(0), work);
        }
        ["case", number, folder] => {
            std::thread::spawn(|| {
                std::thread::sleep(Duration::from_secs(115));
                fleet::unable("it takes too long");
            });
            std::panic::set_hook(Box::new(|panic| fleet::unable(&panic.to_string())));
            let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
            let record = Record::create(&Path::new(folder).join("record.txt"));
            let held = match *number {
                "4" => case_4::run(&record, trouble),
                "5" => case_5::run(&record, trouble),
                "6" => case_6::run(&record, trouble),
                "7" => case_7::run(&record, trouble),
                "8" => case_8::run(&record, trouble),
                _ => fleet::unable("no such case"),
            };
            record.tell(if held {
                "the rule held"
            } else {
                "the rule was broken"
            });
            std::process::exit(i32::from(!held));
        }
        _ => fleet::unable("usage: review-2 case N FOLDER"),
    }
}
