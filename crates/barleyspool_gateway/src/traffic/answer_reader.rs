//! Reads answers of targets whole, within the limits of their size and of the node's memory.

use super::Traffic;
use super::held_answer::{HeldAnswer, record_dropped, record_fault};
use super::target_body::TargetBody;
use barleyspool_core::AnswerDrop;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use std::collections::VecDeque;
use std::rc::Rc;

/// The size of the blocks in which a body is kept, in bytes. They are passed on one by one, so that a body is never copied as a
/// whole, and what a caller has taken is released.
const BLOCK_BYTES: usize = 64 << 10;

/// The complete body of an answer. Its bytes count as memory of answers until it is dropped or taken.
pub struct HeldBody {
    blocks: VecDeque<Bytes>,
    /// The bytes not yet taken.
    length: usize,
    /// Whether its last bytes begin another answer.
    ends_like_head: bool,
    held: HeldAnswer,
}

impl HeldBody {
    /// The number of bytes not yet taken.
    pub fn length(&self) -> usize {
        self.length
    }

    /// Whether its last bytes begin another answer, as [`TargetBody::ends_like_head`].
    pub fn ends_like_head(&self) -> bool {
        self.ends_like_head
    }

    /// Takes the next block.
    pub fn next_block(&mut self) -> Option<Bytes> {
        let block = self.blocks.pop_front()?;
        self.length -= block.len();
        self.held.remove(block.len());
        Some(block)
    }

    /// The body in one piece, for small ones.
    pub fn to_bytes(&self) -> Bytes {
        if let (Some(block), 1) = (self.blocks.front(), self.blocks.len()) {
            return block.clone();
        }
        let mut bytes = BytesMut::with_capacity(self.length);
        for block in &self.blocks {
            bytes.extend_from_slice(block);
        }
        bytes.freeze()
    }
}

/// Reads the body of an answer of the target at this address, of at most `max_bytes`. Returns `None` when it breaks off, or has to be
/// dropped, which is logged. Its connection has to be closed then.
pub async fn read_whole(
    traffic: &Rc<Traffic>,
    address: &str,
    mut body: TargetBody,
    max_bytes: usize,
) -> Option<HeldBody> {
    let held = HeldAnswer::begin(traffic, address);
    let mut blocks = VecDeque::new();
    let mut block = BytesMut::new();
    let mut length = 0;
    let drop_answer = |cause, length| {
        record_dropped(traffic, address, cause, length);
        None
    };
    // A body that states its length is not read at all if it is too large.
    if body.size_hint().lower() > max_bytes as u64 {
        return drop_answer(AnswerDrop::TooLarge, length);
    }
    loop {
        let frame = tokio::select! {
            biased;
            () = held.dropped() => return drop_answer(AnswerDrop::MemoryFull, length),
            frame = body.frame() => frame,
        };
        let data = match frame {
            None => break,
            Some(Err(_)) if body.progress().is_exhausted() => {
                return drop_answer(AnswerDrop::NoResult, length);
            }
            Some(Err(_)) => {
                if let Some(fault) = body.fault() {
                    record_fault(traffic, address, fault, length);
                }
                return None;
            }
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        length += data.len();
        if length > max_bytes {
            return drop_answer(AnswerDrop::TooLarge, length);
        }
        held.add(data.len());
        block.extend_from_slice(&data);
        if block.len() >= BLOCK_BYTES {
            blocks.push_back(std::mem::take(&mut block).freeze());
        }
    }
    if !block.is_empty() {
        blocks.push_back(block.freeze());
    }
    held.complete();
    Some(HeldBody {
        blocks,
        length,
        ends_like_head: body.ends_like_head(),
        held,
    })
}

/// Reads a body and discards it; returns whether it is complete and has at most `max_bytes`.
pub async fn discard(mut body: TargetBody, max_bytes: usize) -> bool {
    let mut left = max_bytes;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return false };
        let data = frame.into_data().unwrap_or_default();
        let Some(rest) = left.checked_sub(data.len()) else {
            return false;
        };
        left = rest;
    }
    true
}
