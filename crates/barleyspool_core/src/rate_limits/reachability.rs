//! How much of the fleet a node reaches.

/// The greatest fraction of a rate that a node uses while it cannot know yet whether it reaches all others:
/// two groups of nodes that do not know of each other then stay within the rate together.
const MAX_UNSTEADY_FRACTION: f64 = 0.5;

/// How many of the nodes that were alive lately a node reaches.
///
/// Each side of a network partition uses its own fraction of a rate, so that together they stay within the
/// rate wherever the partition runs. The default means that nothing is known.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct Reachability {
    /// Number of reached nodes, this one included.
    pub reached: u32,
    /// Number of reached nodes and of those that were lost without a planned stop.
    pub known: u32,
    /// Whether this node has run long enough to know all nodes.
    pub steady: bool,
}

impl Reachability {
    /// The fraction of each rate that the reached nodes may use together.
    pub fn rate_fraction(&self) -> f64 {
        let fraction = if self.known == 0 {
            MAX_UNSTEADY_FRACTION
        } else {
            f64::from(self.reached) / f64::from(self.known)
        };
        if self.steady {
            fraction
        } else {
            fraction.min(MAX_UNSTEADY_FRACTION)
        }
    }
}
