//! The capacity of runners by learned rates.

use super::super::balance::{Capacity, Demand};
use super::super::engine::{Engine, Stage};
use super::super::register::Register;
use super::super::route::{Configuration, Objectives, Service};
use super::{Model, Terms};
use crate::id::ServiceId;

/// The fraction of the shortest objective that a prompt may wait for others on average. The rest is
/// for its own prefill, the transfer, the first step, and the spread of all of them.
const WAIT_FRACTION: f64 = 0.15;
/// The range of the utilisation of prefill runners. Below the lower bound, the runners are idle for
/// most of the time, and more of them would not shorten waits by much. Above the upper bound the
/// queue follows every burst.
const UTILISATION: (f64, f64) = (0.3, 0.8);
/// The fraction of the shortest pause between events that a step may take on average. Chunks of
/// prompts that are prefilled beside the streams, and the way to the caller, take the rest.
const STEP_FRACTION: f64 = 0.2;
/// The fraction of the batch slots that streams may take on average: demand swings to 1.9 times its
/// mean, and beyond the last slot streams wait for others to end.
const SLOT_FRACTION: f64 = 0.75;
/// The smallest number of streams that a decode runner is planned with: half of the number without
/// learned rates. The terms of decode runners are learned from the prompts that they prefill, and
/// are uncertain where these are few.
const MIN_STREAMS: f64 = 24.0;

impl Capacity {
    /// The capacity of the runners of a service by what is learned of them, or else the default.
    pub fn of(
        register: &Register,
        configuration: &Configuration,
        service: &Service,
        demand: &Demand,
    ) -> Self {
        let objectives = configuration.objectives(&service.name);
        let learned = service.engine.zip(objectives).and_then(|(engine, objectives)| {
            Self::learned(register, &service.name, &engine, demand, objectives)
        });
        learned.unwrap_or_default()
    }

    /// The capacity of the runners of a service by what is learned of them; `None` if the models are
    /// not enabled or the service has no runners.
    pub fn learned(
        register: &Register,
        service: &ServiceId,
        engine: &Engine,
        demand: &Demand,
        objectives: Objectives,
    ) -> Option<Self> {
        register.models()?;
        let prefill_rate = prefill_rate(register, service)?;
        let residual = demand.residual_tokens() / prefill_rate;
        let wait = objectives.first_event.as_secs_f64() * WAIT_FRACTION;
        let utilisation = if wait + residual > 0.0 { wait / (wait + residual) } else { 1.0 };
        let terms = decode_terms(register, service);
        Some(Self {
            prefill_rate,
            utilisation: utilisation.clamp(UTILISATION.0, UTILISATION.1),
            streams: streams(&terms, engine, objectives),
        })
    }
}

/// The mean prefill rate of the runners of a service, in tokens per second: of those that prefill,
/// or else of what its model says of such runners.
fn prefill_rate(register: &Register, service: &ServiceId) -> Option<f64> {
    let prefill = register.of(service).filter(|r| r.entry.stage == Some(Stage::Prefill));
    let (sum, count) = prefill.fold((0.0, 0), |(sum, n), r| (sum + r.prefill_rate(), n + 1));
    if count > 0 {
        return Some(sum / f64::from(count));
    }
    let known = register.models()?.get(service, Stage::Prefill);
    let terms = known.map_or_else(|| Terms::prior(Stage::Prefill), Model::terms);
    Some(terms.prefill_rate(Stage::Prefill))
}

fn decode_terms(register: &Register, service: &ServiceId) -> Terms {
    let model = register.models().and_then(|models| models.get(service, Stage::Decode));
    model.map_or_else(|| Terms::prior(Stage::Decode), Model::terms)
}

/// The number of concurrent streams with which a step takes no longer than the objectives allow.
fn streams(terms: &Terms, engine: &Engine, objectives: Objectives) -> f64 {
    let by_slots = f64::from(engine.slots) * SLOT_FRACTION;
    if objectives.pause.is_zero() {
        return by_slots;
    }
    let longest = objectives.pause.as_secs_f64() * STEP_FRACTION;
    let per_stream = (terms.step(1) - terms.step(0)).max(f64::MIN_POSITIVE);
    let by_step = (longest - terms.step(0)) / per_stream;
    by_step.clamp(MIN_STREAMS.min(by_slots), by_slots)
}
