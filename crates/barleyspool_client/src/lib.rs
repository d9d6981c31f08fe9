//! The callers' side as a library: ask which nodes to use, keep the answer, connect directly, and send
//! again only what may be sent again.
//!
//! ```no_run
//! # async fn example() {
//! use barleyspool_client::{Client, Job};
//! let client = Client::new(vec!["10.0.0.1:7100".to_owned()], "mi-a");
//! let job = Job { key: "crash-17".into(), organisation: "verona".into(), ..Job::default() };
//! let answer = client.run(&job).await;
//! # }
//! ```

mod client;
mod connections;
mod job;

pub use client::{Client, ClientSettings};
pub use job::{Answer, Job, JobOutcome};
