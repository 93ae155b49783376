//! A runner that crashes on some requests and is restarted.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::sleep;

use crate::fleet::runner::{Kind, Runner, Trigger};
use crate::fleet::store::Store;

/// The time between the start of the request and the crash: some steps of an engine.
const CRASH_DELAY: Duration = Duration::from_millis(20);

/// The successive instances of a runner at one address. Each has an id of its own, as on the platform.
#[derive(Clone, Debug)]
pub struct CrashingRunner {
    instances: Arc<Mutex<Vec<Runner>>>,
}

impl CrashingRunner {
    /// Starts a runner that crashes on the requests of `trigger` and restarts after `pause`.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start(
        id: &str,
        address: SocketAddr,
        kind: Kind,
        store: &Store,
        trigger: Trigger,
        pause: Duration,
    ) -> std::io::Result<Self> {
        let first = Runner::start(&format!("{id}-0"), address, kind.clone(), store).await?;
        first.crash_on(trigger.clone());
        let instances = Arc::new(Mutex::new(vec![first.clone()]));
        let (store, id) = (store.clone(), id.to_owned());
        let runner = Self { instances: instances.clone() };
        tokio::spawn(async move {
            let mut instance = first;
            for number in 1.. {
                instance.crash_triggered().await;
                sleep(CRASH_DELAY).await;
                instance.kill();
                sleep(pause).await;
                store.remove("servers", &instance.id);
                let next = format!("{id}-{number}");
                instance = Runner::start(&next, instance.address(), kind.clone(), &store)
                    .await
                    .expect("the address is free again");
                instance.crash_on(trigger.clone());
                instances.lock().unwrap_or_else(PoisonError::into_inner).push(instance.clone());
            }
        });
        Ok(runner)
    }

    /// Crashes the current instance without a request.
    pub fn crash(&self) {
        if let Some(instance) = self.instances().last() {
            instance.trigger_crash();
        }
    }

    /// All instances so far, in order of their start.
    pub fn instances(&self) -> Vec<Runner> {
        self.instances.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
