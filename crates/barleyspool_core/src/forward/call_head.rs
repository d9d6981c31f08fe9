//! The metadata of a forwarded call.

use crate::Span;

/// A part of a prompt, with an id by which targets and nodes recognise that two prompts share it.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptPart {
    /// The id of the part.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// The metadata of a forwarded call, which comes with its body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallHead {
    /// The id of the call, never reused for another call.
    pub id: String,
    /// The requested host.
    pub host: String,
    /// The path without the query.
    pub path: String,
    /// How long the caller waits for the answer; `None` when it does not state it.
    pub max_wait: Option<Span>,
    /// The API key of the caller; `None` when it sends none.
    pub key: Option<String>,
    /// The parts of the prompt in order; the last one belongs to this call or its session alone.
    pub prompt: Vec<PromptPart>,
    /// The number of tokens of the whole prompt, and the maximum number of tokens to generate.
    pub tokens: (u32, u32),
    /// The number of pieces of each stage; a stage with zero pieces is skipped.
    pub pieces: Vec<u32>,
    /// The key that is sent with the pieces of stages without predecessors, and from which the targets
    /// compute them: these pieces read no results.
    pub piece_key: String,
    /// The id of the last event that the caller received of a stream it resumes; `None` for a new stream.
    pub resume_after: Option<u64>,
    /// The id of the call that brought the first event of that stream; `None` when the caller does not name it.
    pub stream_id: Option<String>,
}

impl CallHead {
    /// A hash of the chain of prompt parts that other calls may share; zero if there are none.
    pub fn shared_prefix_hash(&self) -> u64 {
        let shared = self.prompt.len().saturating_sub(1);
        self.prompt[..shared].iter().fold(0, |chain: u64, part| {
            chain.rotate_left(17).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ part.id
        })
    }

    /// The number of tokens of the prompt parts that other calls may share.
    pub fn shared_tokens(&self) -> u32 {
        let shared = self.prompt.len().saturating_sub(1);
        let shared = self.prompt[..shared].iter();
        // The caller states the counts, which can be anything.
        shared.fold(0, |tokens, part| part.tokens.saturating_add(tokens))
    }
}
