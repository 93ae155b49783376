//! The interface to model engines. Support for another engine protocol takes one implementation of
//! [`Engine`].

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

/// A runner and its address.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its name.
    pub name: Name,
    /// Its address.
    pub address: SocketAddr,
}

/// A completion request.
#[derive(Clone, Debug)]
pub struct Completion {
    /// The request ID at the runner.
    pub id: SmolStr,
    /// The model.
    pub model: SmolStr,
    /// The prompt.
    pub prompt: SmolStr,
    /// The maximum number of tokens.
    pub max_tokens: u64,
    /// Its priority.
    pub priority: Priority,
    /// The index of the token to resume from.
    pub resume_from: u64,
}

/// A part of a streamed answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Frame {
    /// A token.
    Token {
        /// Its index in the answer, from 0.
        index: u64,
        /// Its text.
        text: SmolStr,
    },
    /// The finish reason.
    Finish(SmolStr),
    /// The closing frame: the answer is complete.
    Close,
}

/// A streamed answer. Dropping it cancels the request at the runner.
pub type Frames = BoxStream<'static, Result<Frame, Fault>>;

/// Why a request failed before its answer began, and whether the runner is leaving.
#[derive(Clone, Debug)]
pub struct Failure {
    /// The fault.
    pub fault: Fault,
    /// Whether the runner announced that it is leaving.
    pub leaving: bool,
}

/// A protocol to talk to model engines.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Starts a completion.
    async fn complete(&self, peer: &Peer, completion: &Completion) -> Result<Frames, Failure>;

    /// Queries a runner's load.
    async fn load(&self, peer: &Peer) -> Result<Report, Fault>;

    /// Queries which role and order the engine has.
    async fn condition(&self, peer: &Peer) -> Result<EngineStatus, Fault>;

    /// Sends an order.
    async fn order(&self, peer: &Peer, order: &Order) -> Answer;
}
