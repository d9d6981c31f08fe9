//! What a forwarded call says of itself, apart from its body.

use crate::Span;

/// A part of a prompt, named so that targets and nodes can tell that two prompts share it.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptPart {
    /// The part's name.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What a forwarded call says of itself, apart from its body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallHead {
    /// The call's own id, never used for another call.
    pub id: String,
    /// The host that it names.
    pub host: String,
    /// The path, without its query.
    pub path: String,
    /// How long the caller waits; `None` when it does not say.
    pub max_wait: Option<Span>,
    /// The caller's key; `None` when it sends none.
    pub key: Option<String>,
    /// The prompt's parts in order; the last belongs to this call or its session alone.
    pub prompt: Vec<PromptPart>,
    /// Tokens of the whole prompt, and the most that may be generated.
    pub tokens: (u32, u32),
    /// Pieces per stage; a stage without pieces is left out.
    pub pieces: Vec<u32>,
    /// What the stages without predecessors work on.
    pub piece_key: String,
    /// The last event of a stream that the caller has; `None` for a new stream.
    pub resume_after: Option<u64>,
}

impl CallHead {
    /// The chain of prompt parts that other calls may share, as one number; zero for none.
    pub fn shared_prefix_hash(&self) -> u64 {
        let shared = self.prompt.len().saturating_sub(1);
        self.prompt[..shared].iter().fold(0, |chain: u64, part| {
            chain.rotate_left(17).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ part.id
        })
    }

    /// Tokens of the parts that other calls may share.
    pub fn shared_tokens(&self) -> u32 {
        let shared = self.prompt.len().saturating_sub(1);
        self.prompt[..shared].iter().map(|part| part.tokens).sum()
    }
}
