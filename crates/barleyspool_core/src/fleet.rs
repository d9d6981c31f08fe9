//! The fleet list: the entry nodes, cells and targets, as the platform publishes them.

use crate::{CellId, Epoch, Incarnation, NodeId, RequestKey, Revision, TargetId, rendezvous};
use serde::{Deserialize, Serialize};

/// Whether a listed node or target accepts new work.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListState {
    /// It accepts new work.
    #[default]
    Live,
    /// It is shutting down and accepts no new work.
    Leaving,
}

/// An entry node on the fleet list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryNode {
    /// Its number.
    pub id: NodeId,
    /// Where callers connect: IP address and port.
    pub address: String,
    /// Where peers connect for control calls: IP address and port.
    pub control: String,
    /// Where peers connect for configurations and lists: IP address and port.
    pub bulk: String,
    /// Its availability zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Its cell.
    pub cell: CellId,
    /// Whether it accepts new work.
    #[serde(default)]
    pub state: ListState,
}

/// A target on the fleet list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetNode {
    /// Its number.
    pub id: TargetId,
    /// Its incarnation; a target that was replaced has a higher one.
    pub incarnation: Incarnation,
    /// IP address and port.
    pub address: String,
    /// Its availability zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// The service it is part of.
    pub service: String,
    /// Number of calls that it processes concurrently.
    pub slots: u32,
    /// Whether it checks the [`Fence`](crate::Fence) of an order.
    #[serde(default)]
    pub fences: bool,
    /// Whether it accepts new work.
    #[serde(default)]
    pub state: ListState,
}

/// The set of a cell's entry nodes from one epoch until the next.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Era {
    /// The fleet list revision that established this set.
    pub epoch: Epoch,
    /// The nodes, in ascending order.
    pub members: Vec<NodeId>,
}

impl Era {
    /// The smallest number of members that is more than half of them.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// How many *other* members must vote for the lease of a member: more than half of the others.
    ///
    /// A node's vote for itself does not count, since an earlier incarnation of the node would cast it too.
    /// So two incarnations of one node never both have enough votes, and the voters of either
    /// have a member in common with every majority.
    pub fn required_votes(&self) -> usize {
        match self.members.len() {
            0 | 1 => 0,
            members => (members - 1) / 2 + 1,
        }
    }

    /// The home node of `key` among these members.
    pub fn home(&self, key: RequestKey) -> Option<NodeId> {
        rendezvous::pick(key.0, self.members.iter().map(|node| u64::from(node.0))).map(|id| NodeId(id as u32))
    }
}

/// A cell with the history of its member sets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cell {
    /// Its number.
    pub id: CellId,
    /// Its region.
    pub region: String,
    /// Its eras, oldest first; the last is the current one.
    pub eras: Vec<Era>,
    /// Whether eras older than the first listed one were left out. At least two must then be listed.
    #[serde(default)]
    pub truncated: bool,
    /// The platform's guarantee that every node which was in the cell only up to this epoch is switched off.
    /// Without it, a cell that loses more than half of its nodes at once accepts no unrepeatable work.
    #[serde(rename = "sealed", default)]
    pub closed: Epoch,
}

/// The complete fleet list at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// Its revision.
    pub revision: Revision,
    /// The entry nodes.
    pub entries: Vec<EntryNode>,
    /// The cells.
    pub cells: Vec<Cell>,
    /// The targets.
    pub targets: Vec<TargetNode>,
}

impl Fleet {
    /// The entry node `id`, if it is listed.
    pub fn entry(&self, id: NodeId) -> Option<&EntryNode> {
        self.entries.iter().find(|entry| entry.id == id)
    }

    /// The cell `id`, if it is listed.
    pub fn cell(&self, id: CellId) -> Option<&Cell> {
        self.cells.iter().find(|cell| cell.id == id)
    }

    /// The cell of `region` that owns `key`.
    pub fn cell_of(&self, region: &str, key: RequestKey) -> Option<&Cell> {
        let cells = self.cells.iter().filter(|cell| cell.region == region);
        let owner = rendezvous::pick(key.0.rotate_left(64), cells.map(|cell| u64::from(cell.id.0)))?;
        self.cell(CellId(owner as u16))
    }

    /// The home node of `key` in `region` according to this list.
    pub fn home(&self, region: &str, key: RequestKey) -> Option<NodeId> {
        self.cell_of(region, key)?.eras.last()?.home(key)
    }

    /// Why this list is invalid, or `None` if it is valid. A list is applied as a whole or not at all.
    pub fn validation_error(&self) -> Option<&'static str> {
        let ordered = |cell: &Cell| cell.eras.windows(2).all(|pair| pair[0].epoch < pair[1].epoch);
        if !self.cells.iter().all(ordered) {
            return Some("cells: epochs must rise");
        }
        if self
            .cells
            .iter()
            .any(|cell| cell.eras.iter().any(|era| era.members.is_empty()))
        {
            return Some("cells: an era needs a member");
        }
        if self.entries.iter().any(|entry| self.cell(entry.cell).is_none()) {
            return Some("entries: cell is not listed");
        }
        None
    }
}
