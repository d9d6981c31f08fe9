//! Stand-ins and drivers of review cases.

mod deployment;
mod http;
mod memory;
mod runner;
mod store;
mod unframed;

use std::path::Path;
use std::process::exit;
use unframed::Trouble;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let with_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let code = match arguments.as_slice() {
        [_, "runner", address, id] => {
            runner::run(address, id);
            0
        }
        [_, "drive", case, repository, work, record] => {
            let (repository, work, record) = (Path::new(repository), Path::new(work), Path::new(record));
            let trouble = match *case {
                "crash" => Trouble::Crash,
                "crash-all" => Trouble::CrashAll,
                "crash-while-frozen" => Trouble::CrashWhileFrozen,
                "memory" => exit(memory::drive(repository, work, record, with_trouble)),
                _ => exit(2),
            };
            unframed::drive(trouble, repository, work, record, with_trouble)
        }
        _ => 2,
    };
    exit(code);
}
