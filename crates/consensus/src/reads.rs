//! Since when this node knows all that the cluster has committed, by the read index of Raft (section 6.4 of Ongaro's
//! thesis): it asks the leader now and then for its commit index; the leader answers once a majority confirmed that it
//! still leads. When all up to that index was handed out, the node has all that was committed when it asked.

use raft::{RawNode, ReadState};

use crate::Micros;
use crate::config::NodeId;
use crate::storage::Storage;

/// Bytes of the name of a request: the node, and when it asked.
pub(crate) const CONTEXT_BYTES: usize = 16;

/// The requests of one node. Their state is in their names, so that lost ones need no care.
#[derive(Clone, Debug)]
pub(crate) struct Reads {
    me: NodeId,
    every_us: Micros,
    ask_at_us: Micros,
    /// An answer whose index was not yet handed out: the index, and when it was asked for.
    waiting: Option<(u64, Micros)>,
    confirmed_us: Option<Micros>,
}

impl Reads {
    /// A node that asks so often.
    pub(crate) fn new(me: NodeId, every_us: Micros) -> Self {
        Reads { me, every_us, ask_at_us: Micros::MIN, waiting: None, confirmed_us: None }
    }

    /// Asks, if it is time.
    pub(crate) fn ask(&mut self, now_us: Micros, node: &mut RawNode<Storage>) {
        if now_us >= self.ask_at_us {
            self.ask_at_us = now_us + self.every_us;
            node.read_index([self.me.0.to_le_bytes(), now_us.to_le_bytes()].concat());
        }
    }

    /// Takes answers. An older one that waits stays, so that a stream of commits cannot put it off for ever.
    pub(crate) fn answered(&mut self, now_us: Micros, answers: &[ReadState]) {
        for answer in answers {
            let asked_us = self.asked_at(&answer.request_ctx).filter(|asked_us| *asked_us <= now_us);
            self.waiting = self.waiting.or(asked_us.map(|asked_us| (answer.index, asked_us)));
        }
    }

    /// All up to that index was handed out.
    pub(crate) fn applied(&mut self, index: u64) {
        if let Some((_, asked_us)) = self.waiting.take_if(|(waits_for, _)| *waits_for <= index) {
            self.confirmed_us = self.confirmed_us.max(Some(asked_us));
        }
    }

    /// When it asked for the last time of which the answer was handed out.
    pub(crate) fn confirmed_us(&self) -> Option<Micros> {
        self.confirmed_us
    }

    fn asked_at(&self, context: &[u8]) -> Option<Micros> {
        let (node, rest) = context.split_first_chunk()?;
        let asked_us = Micros::from_le_bytes(rest.try_into().ok()?);
        (u64::from_le_bytes(*node) == self.me.0).then_some(asked_us)
    }
}
