//! Membership: conclusions from silence, VM lists and refutations.

use std::time::{Duration, Instant};

use rand::SeedableRng as _;
use rand::rngs::StdRng;
use sardinepick_lib::id::{Incarnation, Name};
use sardinepick_lib::member::{
    Addresses, Members, PAUSE_THRESHOLD, PROBE_PERIOD, SUSPICION_TIMEOUT, State, Update, Vm,
    list_period,
};

fn update(at: u8) -> Update {
    let address = format!("127.0.0.{at}:9000").parse().expect("a valid address");
    Update {
        name: format!("entry-{at}").parse().expect("a valid name"),
        incarnation: Incarnation(1),
        serial: 1,
        state: State::Serving,
        addresses: Addresses { peer: address, front: address },
        data_centre: "hall-a".parse().expect("a valid name"),
    }
}

fn two_nodes() -> (Members, Members, Instant) {
    let now = Instant::now();
    let mut a = Members::new(update(1), Vec::new());
    let mut b = Members::new(update(2), Vec::new());
    a.merge_updates(now, vec![update(2)]);
    b.merge_updates(now, vec![update(1)]);
    (a, b, now)
}

fn state(members: &Members, at: u8) -> State {
    members.peer(&update(at).name).expect("a known peer").update.state
}

/// Ticks `members` for `span` without any answers.
fn tick_without_answers(members: &mut Members, now: &mut Instant, span: Duration) {
    let mut rng = StdRng::seed_from_u64(1);
    let end = *now + span;
    while *now < end {
        *now += Duration::from_millis(100);
        members.tick(*now, &mut rng);
    }
}

#[test]
fn tick_silent_peer_suspected_then_gone() {
    let (mut a, _, mut now) = two_nodes();
    tick_without_answers(&mut a, &mut now, PROBE_PERIOD * 3);
    assert_eq!(state(&a, 2), State::Suspected);
    tick_without_answers(&mut a, &mut now, SUSPICION_TIMEOUT + PROBE_PERIOD);
    assert_eq!(state(&a, 2), State::Gone);
    assert!(
        !a.has_ended(&update(2).name, Incarnation(1)),
        "silence does not prove that a process has ended"
    );
}

/// A node that was paused between a probe and its answer must not take its own pause for the
/// silence of the others.
#[test]
fn tick_after_own_pause_suspects_nobody() {
    let (mut a, _, mut now) = two_nodes();
    let mut rng = StdRng::seed_from_u64(1);
    a.tick(now, &mut rng);
    now += PAUSE_THRESHOLD * 20;
    a.tick(now, &mut rng);
    assert_eq!(state(&a, 2), State::Serving);
}

/// After a network partition in which both sides declared each other gone, they must find each
/// other again: a node has to learn that it was declared gone.
#[test]
fn receive_from_gone_peer_leads_to_refutation() {
    let (mut a, mut b, mut now) = two_nodes();
    tick_without_answers(&mut a, &mut now, PROBE_PERIOD * 3 + SUSPICION_TIMEOUT * 2);
    assert_eq!(state(&a, 2), State::Gone);
    let mut rng = StdRng::seed_from_u64(2);
    let address = |at| update(at).addresses.peer;
    for out in b.tick(now, &mut rng) {
        for answer in a.receive(now, address(2), out.message) {
            for refutation in b.receive(now, address(1), answer.message) {
                a.receive(now, address(2), refutation.message);
            }
        }
    }
    for out in b.push_updates(1, &mut rng) {
        a.receive(now, address(2), out.message);
    }
    assert_eq!(state(&a, 2), State::Serving);
}

#[test]
fn apply_vm_list_leaving_and_unlisted() {
    let (mut a, mut b, mut now) = two_nodes();
    let vm = |at: u8, leaving| {
        let Update { name, addresses, .. } = update(at);
        Vm { name, address: addresses.peer, leaving }
    };
    a.apply_vm_list(now, &[vm(1, false), vm(2, true)]);
    assert_eq!(state(&a, 2), State::Leaving);
    assert!(!a.serving().any(|n| *n == update(2).name), "a leaving node gets no new clients");
    b.apply_vm_list(now, &[vm(1, false), vm(2, true)]);
    assert_eq!(b.me().state, State::Leaving, "a node listed as leaving leaves");

    tick_without_answers(&mut a, &mut now, PROBE_PERIOD * 3);
    a.apply_vm_list(now, &[vm(1, false)]);
    assert_eq!(state(&a, 2), State::Gone);
    assert!(a.has_ended(&update(2).name, Incarnation(1)), "its VM is no longer listed");
}

#[test]
fn list_period_total_bounded() {
    let base = Duration::from_secs(2);
    for nodes in [1, 9, 20, 150, 550] {
        let reads = nodes as f64 / list_period(nodes, base).as_secs_f64();
        assert!(reads <= 10.0, "{nodes} nodes make {reads} reads per second");
    }
}

#[test]
fn assignments_move_only_with_their_node() {
    let names: Vec<Name> =
        (1..60).map(|at| format!("entry-{at}").parse().expect("a valid name")).collect();
    let (mut before, mut after) = (Vec::new(), Vec::new());
    for runner in 0..200 {
        let runner: Name = format!("runner-{runner}").parse().expect("a valid name");
        sardinepick_lib::assignment::assign_nodes(&runner, &names, &mut before);
        sardinepick_lib::assignment::assign_nodes(&runner, &names[1..], &mut after);
        let kept = before.iter().filter(|n| after.contains(n)).count();
        let lost = usize::from(before.contains(&&names[0]));
        assert_eq!(kept, before.len() - lost, "only assignments of the removed node move");
    }
}
