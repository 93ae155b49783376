//! A runner that ends under a certain request, whoever sends it, and is started again.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::time::sleep;

use crate::fleet::runner::{Kind, Runner};
use crate::fleet::store::Store;

/// How long a run of the request lasts before the runner ends: some steps of an engine.
const RUN: Duration = Duration::from_millis(20);

/// The lives of a runner at one address. Each has an id of its own, as on the platform.
#[derive(Clone, Debug)]
pub struct CrashingRunner {
    lives: Arc<Mutex<Vec<Runner>>>,
}

impl CrashingRunner {
    /// Starts a runner that ends as it runs a request with `body`, and is back after `pause`.
    ///
    /// # Errors
    /// The address cannot be listened at.
    pub async fn start(
        id: &str,
        address: SocketAddr,
        kind: Kind,
        store: &Store,
        body: Bytes,
        pause: Duration,
    ) -> std::io::Result<Self> {
        let first = Runner::start(&format!("{id}-0"), address, kind.clone(), store).await?;
        first.crash_on(body.clone());
        let lives = Arc::new(Mutex::new(vec![first.clone()]));
        let (store, id) = (store.clone(), id.to_owned());
        let supervised = Self { lives: lives.clone() };
        tokio::spawn(async move {
            let mut life = first;
            for number in 1.. {
                life.ends().await;
                sleep(RUN).await;
                life.kill();
                sleep(pause).await;
                store.remove("servers", &life.id);
                let next = format!("{id}-{number}");
                life = Runner::start(&next, life.address(), kind.clone(), &store)
                    .await
                    .expect("the address is free again");
                life.crash_on(body.clone());
                lives.lock().unwrap_or_else(PoisonError::into_inner).push(life.clone());
            }
        });
        Ok(supervised)
    }

    /// Ends its present life from outside.
    pub fn end(&self) {
        if let Some(life) = self.instances().last() {
            life.tell_end();
        }
    }

    /// Its lives so far, in their order.
    pub fn instances(&self) -> Vec<Runner> {
        self.lives.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
