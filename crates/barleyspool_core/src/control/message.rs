//! Events and actions of the control state.

use crate::{
    ConfigDocument, Fleet, Gossip, LeavingTarget, NodeId, PeerReply, Plan, Revision, Snapshot,
    TargetCooldown, Time,
};

/// An event that the control thread reports to the control state.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlEvent {
    /// The configuration service returned a configuration.
    ConfigRead {
        /// The configuration with all its parts.
        document: Box<ConfigDocument>,
    },
    /// The configuration service has no newer configuration.
    ConfigUnchanged,
    /// The read of the configuration failed, or returned no valid document.
    ConfigFailed,
    /// The platform returned a fleet list.
    FleetRead {
        /// The list.
        fleet: Box<Fleet>,
    },
    /// The read of the fleet list failed.
    FleetFailed,
    /// A peer replied to a gossip message.
    PeerReplied {
        /// When the gossip message was sent.
        sent_at: Time,
        /// The reply.
        reply: Box<PeerReply>,
    },
    /// A peer returned the changes that this node lacks.
    SnapshotReceived {
        /// The changes.
        snapshot: Box<Snapshot>,
    },
    /// A target reported that it is leaving.
    ReportedLeaving(LeavingTarget),
    /// A target requested a cooldown from this node.
    CooldownRequested(TargetCooldown),
    /// A caller sent a revision that is newer than the one in force.
    NewerRevisionSeen,
    /// This node has lost its links to all targets, or has regained them.
    LinksLost(bool),
    /// A peer reported that it has lost its links to all targets, or has regained them.
    PeerLinksLost {
        /// The peer.
        peer: NodeId,
        /// Whether they are lost.
        lost: bool,
    },
    /// A planned stop was requested.
    Stop,
    /// Requests that the traffic threads have not finished.
    LiveRequests(usize),
    /// Only time has passed.
    Tick,
}

/// An action that the control thread executes for the control state.
#[derive(Clone, Debug)]
pub enum ControlAction {
    /// Send a gossip message to a peer and report its reply as [`ControlEvent::PeerReplied`].
    SendGossip {
        /// The peer's control address.
        address: String,
        /// The message.
        gossip: Gossip,
    },
    /// Report to a peer whether this node has lost its links to all targets.
    ReportLinks {
        /// The peer's control address.
        address: String,
        /// Whether they are lost.
        lost: bool,
    },
    /// Fetch from a peer the changes that this node lacks.
    FetchSnapshot {
        /// The peer's bulk address.
        address: String,
        /// The configuration revision of this node.
        config: Revision,
        /// The fleet list revision of this node.
        fleet: Revision,
    },
    /// Start or stop the watches on the configuration service and on the fleet list.
    Watch(bool),
    /// Read the platform once: the configuration from the configuration service, and the fleet list.
    ReadPlatform,
    /// Publish a plan to the traffic threads.
    Publish(Box<Plan>),
    /// The planned stop is complete: exit the process.
    Exit,
}
