//! What runners are asked, behind one interface, so that another protocol of engines costs one
//! file.

pub mod chunk;
pub mod completions;

use std::net::SocketAddr;

use async_trait::async_trait;
use futures_util::stream::BoxStream;
use sardinepick_lib::config::object::Priority;
use sardinepick_lib::id::Name;
use sardinepick_lib::order::{Answer, EngineStatus, Order};
use sardinepick_lib::outcome::Fault;
use sardinepick_lib::runner::Report;
use smol_str::SmolStr;

/// A runner as it is reached.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its name.
    pub name: Name,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A completion to be made.
#[derive(Clone, Debug)]
pub struct Completion {
    /// The request's name at the runner.
    pub id: SmolStr,
    /// The model.
    pub model: SmolStr,
    /// The prompt.
    pub prompt: SmolStr,
    /// At most so many tokens.
    pub max_tokens: u64,
    /// How urgent it is.
    pub priority: Priority,
    /// The token to go on from.
    pub resume_from: u64,
}

/// A part of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Frame {
    /// A token.
    Token {
        /// Its place in the answer, from 0.
        index: u64,
        /// Its text.
        text: SmolStr,
    },
    /// The reason for which the answer ends.
    Finish(SmolStr),
    /// The closing frame: the answer is whole.
    Close,
}

/// An answer as it comes. Dropping it cancels the request at the runner.
pub type Frames = BoxStream<'static, Result<Frame, Fault>>;

/// How a request failed before its answer began, and whether the runner is leaving.
#[derive(Clone, Debug)]
pub struct Failure {
    /// The fault.
    pub fault: Fault,
    /// The runner said that it is leaving.
    pub leaving: bool,
}

/// Model engines, whatever their protocol.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Starts a completion.
    async fn complete(&self, peer: &Peer, completion: &Completion) -> Result<Frames, Failure>;

    /// Asks for the load.
    async fn load(&self, peer: &Peer) -> Result<Report, Fault>;

    /// Asks which role and order the engine has.
    async fn condition(&self, peer: &Peer) -> Result<EngineStatus, Fault>;

    /// Gives an order.
    async fn order(&self, peer: &Peer, order: &Order) -> Answer;
}
