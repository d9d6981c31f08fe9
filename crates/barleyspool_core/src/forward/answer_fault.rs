//! What is wrong with an answer of a target.

use serde::{Deserialize, Serialize};

/// Why an answer cannot be told from another one on its connection.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AnswerFault {
    /// Another answer begins in its body, or at the end of it.
    SecondAnswer,
    /// Its reason or a header holds a status line: two heads are joined, of which the first was not completed.
    TwoHeads,
    /// The body has a transfer coding that does not tell where it ends.
    TransferCoding,
}

impl AnswerFault {
    /// The stable name shown to operators.
    pub const fn name(self) -> &'static str {
        match self {
            Self::SecondAnswer => "second_answer",
            Self::TwoHeads => "two_heads",
            Self::TransferCoding => "transfer_coding",
        }
    }
}
