//! How much of the fleet a node hears.

/// The part of a rate that a node gives out which cannot know yet whether it hears all others: two such sets of nodes, which know
/// nothing of each other, stay within the whole.
const UNSURE: f64 = 0.5;

/// How many nodes a node reaches, of those that were there lately.
///
/// Two sides of a cut each take their own part, so that together they stay within the whole whatever the cut is. By default
/// nothing is known.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct Reachability {
    /// Nodes that are reached, this one included.
    pub reached: u32,
    /// Those, and the ones that have fallen silent without a planned stop.
    pub known: u32,
    /// Whether this node has run for long enough to know of all.
    pub steady: bool,
}

impl Reachability {
    /// The part of each rate that the nodes that are reached may use.
    pub fn rate_fraction(&self) -> f64 {
        let share = if self.known == 0 {
            UNSURE
        } else {
            f64::from(self.reached) / f64::from(self.known)
        };
        if self.steady { share } else { share.min(UNSURE) }
    }
}
