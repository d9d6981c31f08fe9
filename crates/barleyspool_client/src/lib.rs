//! The client library for callers: asks an entry node which nodes to use, caches the list, connects to those
//! nodes directly, and retries a request only when that is safe.
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
