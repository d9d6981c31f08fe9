//! What nodes say to each other about who is there.

use super::{MemberFacts, MemberHealth};
use crate::{Incarnation, Revision};
use serde::{Deserialize, Serialize};

/// What one node knows of another, passed on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberNews {
    /// What the node said of itself.
    pub facts: MemberFacts,
    /// Which run of it.
    pub incarnation: Incarnation,
    /// Which change of its facts.
    pub change: u64,
    /// How it is.
    pub health: MemberHealth,
}

/// What a message wants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberQuestion {
    /// Answer me.
    Probe {
        /// Repeated in the answer.
        number: u64,
    },
    /// Probe that node for me and pass its answer on.
    ProbeFor {
        /// Repeated in the answer.
        number: u64,
        /// The node's address.
        target: String,
    },
    /// An answer.
    Answer {
        /// The number of the probe.
        number: u64,
    },
    /// Tell me whom you know.
    Join {
        /// Marks of what the asking node knows already; that need not be told.
        known: Vec<u32>,
    },
    /// A part of the answer to that.
    Share {
        /// How many others the answering node knows.
        members: u32,
    },
    /// Only news.
    News,
}

/// A datagram between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberMessage {
    /// What it wants.
    pub question: MemberQuestion,
    /// The revision at which the sender's list of targets stands. Each node tells only its own, with every message:
    /// passed on by others it would crowd out news of nodes.
    pub list: Revision,
    /// News, the sender's own first.
    pub news: Vec<MemberNews>,
}
