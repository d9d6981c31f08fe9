//! What goes into and comes out of the control state.

use crate::{
    ConfigDocument, Fleet, Gossip, LeavingTarget, PeerReply, Plan, Revision, Snapshot, TargetRest, Time,
};

/// What the shell tells the control state.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlEvent {
    /// The configuration service answered.
    ConfigRead {
        /// The whole configuration.
        document: Box<ConfigDocument>,
    },
    /// The configuration service answered that there is nothing newer.
    ConfigUnchanged,
    /// The configuration service did not answer, or not with a configuration.
    ConfigFailed,
    /// The platform's fleet list.
    FleetRead {
        /// The list.
        fleet: Box<Fleet>,
    },
    /// The fleet list could not be read.
    FleetFailed,
    /// A peer replied.
    PeerReplied {
        /// When it was asked.
        asked_at: Time,
        /// What it said.
        reply: Box<PeerReply>,
    },
    /// A peer sent what this node did not have.
    SnapshotReceived {
        /// What it sent.
        snapshot: Box<Snapshot>,
    },
    /// A target said that it is leaving.
    ReportedLeaving(LeavingTarget),
    /// A target wants nothing from this node for a while.
    CooldownRequested(TargetRest),
    /// A caller has seen a newer configuration.
    NewerRevisionSeen,
    /// A planned stop was asked for.
    Stop,
    /// How much the traffic threads still have to do.
    LiveRequests(usize),
    /// Time passed.
    Tick,
}

/// What the control state wants done.
#[derive(Clone, Debug)]
pub enum ControlAction {
    /// Ask a peer: say this, and report its reply.
    SendGossip {
        /// Its control address.
        address: String,
        /// What to say.
        gossip: Gossip,
    },
    /// Fetch what a peer has and this node has not.
    FetchSnapshot {
        /// The peer's bulk address.
        address: String,
        /// The configuration this node has.
        config: Revision,
        /// The fleet list this node has.
        fleet: Revision,
    },
    /// Whether to keep one watch on the configuration service and one on the fleet list.
    Watch(bool),
    /// Read the configuration service and the fleet list once.
    ReadPlatform,
    /// Hand this plan to the traffic threads.
    Publish(Box<Plan>),
    /// Everything is done: leave.
    Exit,
}
