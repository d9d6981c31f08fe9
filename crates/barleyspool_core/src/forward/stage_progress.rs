//! Tracks the stages of one call: which may start, and whose results are still needed.

use super::StageSpec;

/// How often lost results of a call may be computed again before the call fails.
const MAX_RECOMPUTATIONS: u32 = 2;

/// A stage that is to start now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadyStage {
    /// The index of the stage in the route.
    pub stage: usize,
    /// The number of pieces.
    pub pieces: u32,
    /// The handles of the results that each piece reads.
    pub inputs: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum StageState {
    Waiting,
    Running,
    Done(Vec<String>),
}

/// The progress of the stages of one call.
#[derive(Clone, Debug)]
pub struct StageProgress {
    specs: Vec<StageSpec>,
    pieces: Vec<u32>,
    states: Vec<StageState>,
    released: Vec<bool>,
    /// See [`Self::depth_after`]. Computed once: following all chains takes time exponential in the number of stages.
    depths: Vec<usize>,
    recomputations: u32,
}

/// The number of stages after each stage on the longest chain from it to the call. A stage needs earlier ones only.
fn depths_after(specs: &[StageSpec]) -> Vec<usize> {
    let mut depths = vec![0; specs.len()];
    for (stage, spec) in specs.iter().enumerate().rev() {
        for &needed in &spec.needs {
            depths[needed] = depths[needed].max(depths[stage] + 1);
        }
    }
    depths
}

impl StageProgress {
    /// Tracks the stages of a route with the number of pieces that the call states for each; a stage that
    /// it does not mention has one.
    pub fn new(specs: &[StageSpec], pieces: &[u32]) -> Self {
        let pieces: Vec<u32> = (0..specs.len())
            .map(|stage| pieces.get(stage).copied().unwrap_or(1))
            .collect();
        let states = pieces
            .iter()
            .map(|count| match count {
                0 => StageState::Done(Vec::new()),
                _ => StageState::Waiting,
            })
            .collect();
        Self {
            released: vec![false; specs.len()],
            depths: depths_after(specs),
            specs: specs.to_vec(),
            pieces,
            states,
            recomputations: 0,
        }
    }

    /// Starts the stages that are ready and returns them; each stage is returned once.
    pub fn start_ready(&mut self) -> Vec<ReadyStage> {
        let ready: Vec<usize> = (0..self.specs.len())
            .filter(|&stage| self.states[stage] == StageState::Waiting && self.inputs(stage).is_some())
            .filter(|&stage| self.may_start(stage))
            .collect();
        ready
            .into_iter()
            .map(|stage| {
                let inputs = self.inputs(stage).unwrap_or_default();
                self.states[stage] = StageState::Running;
                ReadyStage {
                    stage,
                    pieces: self.pieces[stage],
                    inputs,
                }
            })
            .collect()
    }

    /// Whether a stage whose inputs are available may start now. A stage with fewer stages after it than
    /// another open stage would be done too early: its results would occupy memory at their holders while
    /// the longer chain runs, in vain if that fails. The longest open chain is never delayed, so this
    /// cannot stall.
    fn may_start(&self, stage: usize) -> bool {
        let own = self.depth_after(stage);
        let open = |other: &usize| !matches!(self.states[*other], StageState::Done(_));
        let mut open = (0..self.specs.len()).filter(open);
        open.all(|other| self.depth_after(other) <= own)
    }

    fn inputs(&self, stage: usize) -> Option<Vec<String>> {
        let mut inputs = Vec::new();
        for &needed in &self.specs[stage].needs {
            match &self.states[needed] {
                StageState::Done(handles) => inputs.extend(handles.iter().cloned()),
                _ => return None,
            }
        }
        Some(inputs)
    }

    /// Records that a stage is complete, with the handles of its results. Returns the handles of results
    /// that are no longer needed.
    pub fn complete(&mut self, stage: usize, handles: Vec<String>) -> Vec<String> {
        self.states[stage] = StageState::Done(handles);
        let mut releasable = Vec::new();
        for needed in self.specs[stage].needs.clone() {
            if !self.released[needed] && self.is_consumed(needed) {
                self.released[needed] = true;
                releasable.extend(self.handles(needed));
            }
        }
        releasable
    }

    fn is_consumed(&self, stage: usize) -> bool {
        let mut dependents = (0..self.specs.len()).filter(|&other| self.specs[other].needs.contains(&stage));
        !self.is_final(stage) && dependents.all(|other| matches!(self.states[other], StageState::Done(_)))
    }

    /// Resets a stage whose inputs are lost, and all stages it depends on, so that they are computed again.
    /// Returns false when that has happened too often. `None` stands for the call itself, which found its
    /// inputs lost.
    pub fn recompute(&mut self, stage: Option<usize>) -> bool {
        if self.recomputations >= MAX_RECOMPUTATIONS {
            return false;
        }
        self.recomputations += 1;
        let mut pending: Vec<usize> = match stage {
            Some(stage) => vec![stage],
            None => (0..self.specs.len())
                .filter(|&stage| self.is_final(stage))
                .collect(),
        };
        let mut visited = vec![false; self.specs.len()];
        while let Some(stage) = pending.pop() {
            if std::mem::replace(&mut visited[stage], true) {
                continue;
            }
            pending.extend(&self.specs[stage].needs);
            if self.pieces[stage] > 0 {
                self.states[stage] = StageState::Waiting;
                self.released[stage] = false;
            }
        }
        true
    }

    /// Whether every stage is complete.
    pub fn is_complete(&self) -> bool {
        self.states
            .iter()
            .all(|state| matches!(state, StageState::Done(_)))
    }

    /// The outputs of the graph of stages, which are the inputs of the call itself: the handles of the
    /// results of the stages that no other stage depends on.
    pub fn outputs(&self) -> Vec<String> {
        (0..self.specs.len())
            .filter(|&stage| self.is_final(stage))
            .flat_map(|stage| self.handles(stage))
            .collect()
    }

    /// The handles of all results that have not been released yet.
    pub fn unreleased(&self) -> Vec<String> {
        (0..self.specs.len())
            .filter(|&stage| !self.released[stage])
            .flat_map(|stage| self.handles(stage))
            .collect()
    }

    /// The number of stages after `stage` on the longest chain from it to the call.
    pub fn depth_after(&self, stage: usize) -> usize {
        self.depths[stage]
    }

    fn is_final(&self, stage: usize) -> bool {
        !self.specs.iter().any(|spec| spec.needs.contains(&stage))
    }

    fn handles(&self, stage: usize) -> Vec<String> {
        match &self.states[stage] {
            StageState::Done(handles) => handles.clone(),
            _ => Vec::new(),
        }
    }
}
