//! Stand-ins and drivers of the review: `review-stand CASE FOLDER` plays a case and writes `record.txt` into the folder.
//! It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod client;
mod cut;
mod deployment;
mod drain;
mod gone;
mod hang;
mod http;
mod inputs;
mod record;
mod runner;
mod store;
mod upload;

use deployment::Deployment;
use std::path::Path;
use std::process::ExitCode;

/// The result of a case: whether the rule held, and the lines of the summary.
pub struct Verdict {
    pub held: bool,
    pub summary: Vec<String>,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.first().is_some_and(|first| first == "runner") {
        let options = runner::Options::parse(&arguments[1..]);
        return match runner::run(options) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("runner: {error}");
                ExitCode::from(2)
            }
        };
    }
    let [case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-stand CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let scratch = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    let played = match case.as_str() {
        "gone" => gone::play(&scratch, trouble),
        "hang" => hang::play(&scratch, trouble),
        "cut" => cut::play(&scratch, trouble),
        "drain" => drain::play(&scratch, trouble),
        "inputs" => inputs::play(&scratch, trouble),
        "upload" => upload::play(&scratch, trouble),
        _ => Err(format!("unknown case {case}")),
    };
    let code = report(Path::new(folder), &scratch, played, trouble);
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&scratch);
    }
    ExitCode::from(code)
}

fn report(folder: &Path, scratch: &Path, played: Result<Verdict, String>, trouble: bool) -> u8 {
    let mut lines = vec![format!("trouble: {}", if trouble { "yes" } else { "no" })];
    let code = match played {
        Ok(verdict) => {
            lines.extend(verdict.summary);
            lines.push(format!(
                "the rule {}",
                if verdict.held { "held" } else { "was broken" }
            ));
            u8::from(!verdict.held)
        }
        Err(cause) => {
            lines.push(format!("the case could not run: {cause}"));
            2
        }
    };
    for line in &lines {
        println!("{line}");
    }
    let events = std::fs::read_to_string(scratch.join("events")).unwrap_or_default();
    let mut events: Vec<&str> = events.lines().collect();
    events.sort_by_key(|line| line.split(' ').next().and_then(|time| time.parse::<u64>().ok()));
    lines.push(String::new());
    lines.push("What was sent, run and answered, with the time in milliseconds since 1970:".to_owned());
    lines.extend(events.into_iter().map(str::to_owned));
    if let Err(error) = std::fs::write(folder.join("record.txt"), lines.join("\n") + "\n") {
        eprintln!("record.txt: {error}");
        return 2;
    }
    code
}

/// The time of a line of the record, and its words.
pub fn event(line: &str) -> Option<(u64, Vec<&str>)> {
    let mut words = line.split(' ');
    let time = words.next()?.parse().ok()?;
    Some((time, words.collect()))
}

/// The arrivals at runners: the time and the id of the request.
pub fn arrivals(deployment: &Deployment) -> Vec<(u64, String)> {
    let lines = deployment.events();
    let arrival = |line: &String| {
        let (time, words) = event(line)?;
        (words.first() == Some(&"runner") && words.get(2) == Some(&"arrives"))
            .then(|| (time, words[3].to_owned()))
    };
    lines.iter().filter_map(arrival).collect()
}
