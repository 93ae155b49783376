//! Tests of the quarantine of prompt parts: which parts are restricted, quarantined or cleared.

use std::time::{Duration, Instant};

use sardinepick_lib::fleet::fingerprint::Fingerprint;
use sardinepick_lib::fleet::part::PartId;
use sardinepick_lib::fleet::part_quarantine::{
    Answer, Cause, Change, Context, Crash, Disposition, Entry, MAX_CONTEXT, Mark, PartQuarantine,
    Prompt, Question, Report, Reports, SOUND_DELAY, Stage, Subject,
};
use sardinepick_lib::fleet::runner::Tag;

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
/// The time from a proposal to its decision, and a little more.
const DECISION: Duration = Duration::from_millis(310);

fn part(id: &str) -> Subject {
    let service = "telraad".parse().expect("an id");
    Subject::of(&service, "m", &PartId::new(id).expect("an id"))
}

fn question(number: u64) -> Question {
    Question { node: 1, number }
}

fn is_granted(answer: Answer) -> bool {
    matches!(answer, Answer::Granted(_))
}

/// A request of one account.
fn prompt(request: u64, parts: &[&str]) -> Prompt {
    prompt_of("hule930", request, parts)
}

fn prompt_of(account: &str, request: u64, parts: &[&str]) -> Prompt {
    let account = account.parse().expect("an id");
    Prompt {
        subjects: parts.iter().map(|id| part(id)).collect(),
        request: Mark::of_request(&Fingerprint::of(&[&request.to_le_bytes()])),
        account: Mark::of_account(Some(&account)),
    }
}

/// A node that counts crashes and decides by itself.
struct Node {
    core: PartQuarantine,
    now: Instant,
    requests: u64,
    runners: u64,
    /// Reports that are delayed.
    later: Vec<Report>,
}

impl Node {
    fn new() -> Self {
        let (core, now) = (PartQuarantine::default(), Instant::now());
        Self { core, now, requests: 0, runners: 0, later: Vec::new() }
    }

    /// Counts the delayed reports that have not been refuted.
    fn count_delayed(&mut self) {
        self.wait(SOUND_DELAY);
        for report in std::mem::take(&mut self.later) {
            if !self.core.is_refuted(&report) {
                self.core.note_report(&report, self.now);
            }
        }
    }

    fn wait(&mut self, time: Duration) {
        self.now += time;
    }

    /// A new request with these parts.
    fn request(&mut self, parts: &[&str]) -> Prompt {
        self.requests += 1;
        prompt(self.requests, parts)
    }

    /// A runner crashes under a run that was sent `sent` ago.
    fn crash_sent(&mut self, prompts: &[Prompt], begun: bool, sent: Duration) -> Vec<Change> {
        self.runners += 1;
        let crash = Crash {
            incarnation: Tag(self.runners),
            at: self.now,
            begun,
            sent: self.now - sent,
            context: Context::new(),
        };
        let mut changes = Vec::new();
        for prompt in prompts {
            let Reports { now, later } = self.core.reports(prompt, &crash, self.now);
            self.later.extend(later);
            for report in now {
                changes.extend(self.core.note_report(&report, self.now));
            }
        }
        changes
    }

    /// A second later, a runner crashes under a new run.
    fn crash(&mut self, prompt: &Prompt) -> Vec<Change> {
        self.wait(SECOND);
        self.crash_sent(std::slice::from_ref(prompt), true, 100 * MS)
    }

    /// Runners crash under new requests with these parts, one after the other.
    fn crash_times(&mut self, parts: &[&str], times: usize) {
        for _ in 0..times {
            let prompt = self.request(parts);
            self.crash(&prompt);
        }
    }

    fn decide(&mut self) -> Vec<Change> {
        self.wait(DECISION);
        self.core.decide(self.now)
    }

    fn quarantine(&mut self, parts: &[&str]) {
        self.crash_times(parts, 3);
        self.decide();
    }

    fn stage(&self, id: &str) -> Option<Stage> {
        self.core.get(&part(id)).map(|entry| entry.stage)
    }

    fn disposition(&self, prompt: &Prompt) -> Disposition {
        self.core.disposition(prompt, self.now)
    }

    fn progress(&mut self, parts: &[&str]) {
        let prompt = self.request(parts);
        self.core.note_progress(&prompt, self.now);
    }
}

#[test]
fn note_report_one_crash_free() {
    let mut node = Node::new();
    node.crash_times(&["f", "bad"], 1);
    assert_eq!(node.stage("bad"), None);
    let next = node.request(&["f", "bad"]);
    assert_eq!(node.disposition(&next), Disposition::Free);
}

#[test]
fn note_report_two_crashes_restricted() {
    let mut node = Node::new();
    node.crash_times(&["bad"], 2);
    assert_eq!(node.stage("bad"), Some(Stage::Restricted));
    let next = node.request(&["other", "bad"]);
    let restricted = Disposition::Restricted([part("bad")].into_iter().collect());
    assert_eq!(node.disposition(&next), restricted);
}

/// Requests with several suspect parts wait, so that trials of each alone tell which is at fault.
#[test]
fn disposition_several_suspects_wait_for_trials_alone() {
    let mut node = Node::new();
    node.crash_times(&["a"], 2);
    node.crash_times(&["b"], 2);
    let (both, one) = (node.request(&["a", "b"]), node.request(&["a"]));
    assert_eq!(node.disposition(&both), Disposition::Held);
    assert!(matches!(node.disposition(&one), Disposition::Restricted(_)));
    node.wait(6 * SECOND);
    assert!(matches!(node.disposition(&both), Disposition::Restricted(_)), "no trial alone came");
}

#[test]
fn decide_three_crashes_quarantined() {
    let mut node = Node::new();
    node.crash_times(&["bad"], 3);
    let next = node.request(&["bad"]);
    assert_eq!(node.stage("bad"), Some(Stage::Proposed));
    assert_eq!(node.disposition(&next), Disposition::Held);
    assert!(node.core.decide(node.now).is_empty(), "others may still object");
    assert_eq!(node.decide().len(), 1);
    assert_eq!(node.disposition(&next), Disposition::Refused(part("bad")));
    let sound = node.request(&["f"]);
    assert_eq!(node.disposition(&sound), Disposition::Free);
}

/// Parts of other services and models with the same id are other parts.
#[test]
fn subject_of_other_model_differs() {
    let id = PartId::new("bad").expect("an id");
    let of = |service: &str, model: &str| Subject::of(&service.parse().expect("an id"), model, &id);
    assert_ne!(of("telraad", "m"), of("telraad", "n"));
    assert_ne!(of("telraad", "m"), of("other", "m"));
    assert_ne!(of("ab", "c"), of("a", "bc"));
}

/// Runs that may have been queued weigh half as much.
#[test]
fn note_report_queued_runs_weigh_less() {
    let mut node = Node::new();
    for crash in 1..=6 {
        node.wait(SECOND);
        let prompt = node.request(&["bad"]);
        node.crash_sent(&[prompt], false, 100 * MS);
        let expected = match crash {
            1..=3 => None,
            4..=5 => Some(Stage::Restricted),
            _ => Some(Stage::Proposed),
        };
        assert_eq!(node.stage("bad"), expected, "after {crash} crashes");
    }
}

/// What many sound requests share is at each crash, and makes progress in between.
#[test]
fn note_progress_between_crashes_not_counted() {
    let mut node = Node::new();
    for _ in 0..3 {
        node.crash_times(&["f", "bad"], 1);
        node.wait(10 * MS);
        node.progress(&["f", "sound"]);
    }
    assert_eq!(node.stage("f"), None);
    assert_eq!(node.stage("bad"), Some(Stage::Proposed));
}

/// A part that has just made progress is not suspected because many runners crash at once, unless
/// no run on it makes progress any more.
#[test]
fn reports_progress_just_before_delayed() {
    for goes_on in [true, false] {
        let mut node = Node::new();
        node.progress(&["f"]);
        node.wait(100 * MS);
        let prompts = [node.request(&["f", "a"]), node.request(&["f", "b"])];
        node.crash_sent(&prompts, true, 50 * MS);
        node.crash_sent(&prompts, true, 50 * MS);
        assert_eq!(node.stage("f"), None);
        assert_eq!(node.stage("a"), Some(Stage::Restricted));
        node.wait(20 * MS);
        if goes_on {
            node.progress(&["f"]);
        }
        node.count_delayed();
        assert_eq!(node.stage("f"), (!goes_on).then_some(Stage::Restricted));
    }
}

/// A part may begin to crash runners, although runs on it made progress before. One more trial has
/// to fail then.
#[test]
fn part_sound_before_quarantined() {
    let mut node = Node::new();
    node.progress(&["f"]);
    node.wait(SECOND);
    node.crash_times(&["f"], 3);
    assert_eq!(node.stage("f"), Some(Stage::Undecided));
    node.crash_times(&["f"], 1);
    node.decide();
    assert_eq!(node.stage("f"), Some(Stage::Quarantined));
}

/// All runners are lost at once: no run that was sent after the first crash has crashed, so the
/// part stays restricted until a trial shows what it does.
#[test]
fn note_report_simultaneous_crashes_restricted() {
    let mut node = Node::new();
    for _ in 0..8 {
        let prompt = node.request(&["f"]);
        node.crash_sent(&[prompt], true, 100 * MS);
        node.wait(2 * MS);
    }
    assert_eq!(node.stage("f"), Some(Stage::Restricted));
    assert!(node.decide().is_empty());
    assert!(is_granted(node.core.acquire(&part("f"), true, question(1), node.now)));
    node.progress(&["f"]);
    assert_eq!(node.stage("f"), Some(Stage::Cleared));
    let next = node.request(&["f"]);
    assert_eq!(node.disposition(&next), Disposition::Free);
}

/// One run at a time on a restricted part, until it crashes, makes progress, or is returned.
#[test]
fn acquire_restricted_one_at_a_time() {
    let mut node = Node::new();
    node.crash_times(&["bad"], 2);
    let mut number = 0;
    let mut acquire = |node: &mut Node| {
        number += 1;
        node.core.acquire(&part("bad"), true, question(number), node.now)
    };
    let Answer::Granted(first) = acquire(&mut node) else { panic!("no permit is outstanding") };
    assert_eq!(acquire(&mut node), Answer::Busy);
    node.core.return_permit(&part("bad"), first);
    assert!(is_granted(acquire(&mut node)));
    node.core.return_permit(&part("bad"), first);
    assert_eq!(acquire(&mut node), Answer::Busy, "the first permit was returned before");
    node.wait(3 * SECOND);
    assert!(is_granted(acquire(&mut node)), "the node that had the permit may be gone");
    node.crash_times(&["bad"], 1);
    assert_eq!(acquire(&mut node), Answer::Busy, "a decision is pending");
    node.decide();
    assert_eq!(acquire(&mut node), Answer::Refused);
    assert_eq!(node.core.acquire(&part("sound"), true, question(1), node.now), Answer::Free);
}

/// The answer to a request for a permit may be lost; the request is repeated.
#[test]
fn acquire_repeated_question_same_permit() {
    let mut node = Node::new();
    node.crash_times(&["bad"], 2);
    let mut acquire = |number| node.core.acquire(&part("bad"), true, question(number), node.now);
    let first = acquire(1);
    assert!(is_granted(first));
    assert_eq!(acquire(1), first);
    assert_eq!(acquire(2), Answer::Busy);
}

/// The first part and the crashing one are at the same crashes, and nobody else uses the first.
/// Requests with the first part alone are not refused, and their progress narrows the refusal.
#[test]
fn disposition_parts_always_together_refused_together() {
    let mut node = Node::new();
    node.quarantine(&["f", "bad"]);
    assert_eq!(node.stage("f"), Some(Stage::Quarantined));
    let both = node.request(&["f", "bad"]);
    assert!(matches!(node.disposition(&both), Disposition::Refused(_)));
    let sound = node.request(&["f"]);
    let restricted = Disposition::Restricted([part("f")].into_iter().collect());
    assert_eq!(node.disposition(&sound), restricted);
    let with_other = node.request(&["g", "bad"]);
    assert!(matches!(node.disposition(&with_other), Disposition::Restricted(_)));
    let changes = node.core.note_progress(&sound, node.now);
    let causes: Vec<Cause> = changes.iter().map(|change| change.cause).collect();
    assert_eq!(causes, [Cause::Progress, Cause::Narrowed]);
    assert_eq!(node.disposition(&with_other), Disposition::Refused(part("bad")));
    assert_eq!(node.disposition(&sound), Disposition::Free);
}

/// Runs without all of the context crash too: the refusal no longer depends on what they lacked.
/// One crash may have another cause, and so may two if they have something else in common.
#[test]
fn note_report_crashes_outside_context_narrow() {
    let mut node = Node::new();
    node.quarantine(&["f", "bad"]);
    let next = node.request(&["h", "bad"]);
    for other in ["g", "e"] {
        assert!(matches!(node.disposition(&next), Disposition::Restricted(_)));
        let other = node.request(&[other, "bad"]);
        assert!(is_granted(node.core.acquire(&part("bad"), false, question(1), node.now)));
        node.crash(&other);
    }
    assert_eq!(node.disposition(&next), Disposition::Refused(part("bad")));
}

/// Guards against refusing a sound part by itself that was always beside one of two crashing parts.
#[test]
fn note_report_crashes_with_second_part_do_not_narrow() {
    let mut node = Node::new();
    node.quarantine(&["f", "bad"]);
    for number in 1..=2 {
        assert!(is_granted(node.core.acquire(&part("f"), false, question(number), node.now)));
        let other = node.request(&["f", "worse"]);
        node.crash(&other);
    }
    let sound = node.request(&["f"]);
    assert!(matches!(node.disposition(&sound), Disposition::Restricted(_)));
}

/// A caller that names another account's part beside its own crashing one cannot have it refused
/// for that account.
#[test]
fn disposition_part_of_another_account_not_refused() {
    let mut node = Node::new();
    for (request, own) in [(1, "bad1"), (2, "bad2"), (3, "bad3")] {
        let prompt = prompt_of("attacker", request, &["victim", own]);
        node.crash(&prompt);
    }
    node.decide();
    assert_eq!(node.stage("victim"), Some(Stage::Quarantined));
    let victim = prompt_of("victim", 4, &["victim"]);
    let restricted = Disposition::Restricted([part("victim")].into_iter().collect());
    assert_eq!(node.disposition(&victim), restricted);
    node.core.note_progress(&victim, node.now);
    assert_eq!(node.disposition(&victim), Disposition::Free);
}

/// A request that crashes runners because of its body has all three crashes alone: other requests
/// with its parts are not refused.
#[test]
fn disposition_crashes_under_one_request_others_not_refused() {
    let mut node = Node::new();
    let crashing = node.request(&["a"]);
    for _ in 0..3 {
        node.crash(&crashing);
    }
    node.decide();
    assert_eq!(node.disposition(&crashing), Disposition::Refused(part("a")));
    let other = node.request(&["a"]);
    assert!(matches!(node.disposition(&other), Disposition::Restricted(_)));
}

/// Two crashing parts that are used by turns are both quarantined, after three crashes each.
#[test]
fn decide_two_parts_both_quarantined() {
    let mut node = Node::new();
    for _ in 0..3 {
        node.crash_times(&["f", "bad1"], 1);
        node.crash_times(&["f", "bad2"], 1);
        node.progress(&["f"]);
    }
    node.decide();
    for id in ["bad1", "bad2"] {
        assert_eq!(node.stage(id), Some(Stage::Quarantined), "{id}");
    }
    let sound = node.request(&["f"]);
    assert_eq!(node.disposition(&sound), Disposition::Free);
}

/// A rare part ran beside the crashing one at three of its four crashes: the next trial tells them
/// apart, and the rare one is not refused.
#[test]
fn decide_part_beside_crashing_one_not_refused() {
    let mut node = Node::new();
    for crash in 0..4 {
        node.wait(SECOND);
        let mut prompts = vec![node.request(&["bad"])];
        if crash > 0 {
            prompts.push(node.request(&["rare"]));
        }
        node.crash_sent(&prompts, true, 100 * MS);
    }
    node.decide();
    node.crash_times(&["bad"], 1);
    node.decide();
    assert_eq!(node.stage("bad"), Some(Stage::Quarantined));
    assert_eq!(node.stage("rare"), Some(Stage::Undecided));
    assert_eq!(node.core.suspects(), 1, "the crashes of the rare part are accounted for");
    node.progress(&["rare"]);
    assert_eq!(node.stage("rare"), Some(Stage::Cleared));
}

/// A report that arrives after another part has been quarantined for the crash does not count.
#[test]
fn note_report_explained_crash_not_counted() {
    let mut node = Node::new();
    node.quarantine(&["bad"]);
    for _ in 0..3 {
        node.wait(SECOND);
        let prompts = [node.request(&["bad"]), node.request(&["rare"])];
        node.crash_sent(&prompts, true, 100 * MS);
    }
    assert_eq!(node.stage("rare"), None);
}

/// Two crashing parts have one first part, and no run on it makes progress for a while, as runners
/// are down. It is not refused, and the others are, after few crashes.
#[test]
fn evaluate_first_part_of_two_crashing_ones_cleared() {
    let mut node = Node::new();
    node.progress(&["f"]);
    let mut crashes = [0; 2];
    for round in 0..60 {
        for (bad, crashes) in ["bad1", "bad2"].iter().zip(&mut crashes) {
            let prompt = node.request(&["f", bad]);
            if matches!(node.disposition(&prompt), Disposition::Free | Disposition::Restricted(_)) {
                *crashes += 1;
                node.crash(&prompt);
            }
            node.decide();
        }
        let sound = node.request(&["f", "s"]);
        assert!(!matches!(node.disposition(&sound), Disposition::Refused(_)));
        if round >= 2 && node.disposition(&sound) != Disposition::Held {
            node.core.note_progress(&sound, node.now);
        }
    }
    for id in ["bad1", "bad2"] {
        assert_eq!(node.stage(id), Some(Stage::Quarantined), "{id}");
    }
    assert_eq!(node.stage("f"), Some(Stage::Cleared));
    assert!(crashes.iter().all(|crashes| *crashes <= 5), "{crashes:?}");
}

#[test]
fn decide_tie_undecided_next_crash_decides() {
    let mut node = Node::new();
    for _ in 0..3 {
        node.wait(SECOND);
        let prompts = [node.request(&["bad"]), node.request(&["rare"])];
        node.crash_sent(&prompts, true, 100 * MS);
    }
    node.decide();
    for id in ["bad", "rare"] {
        assert_eq!(node.stage(id), Some(Stage::Undecided), "{id}");
    }
    node.crash_times(&["bad"], 1);
    node.decide();
    assert_eq!(node.stage("bad"), Some(Stage::Quarantined));
    assert_eq!(node.stage("rare"), Some(Stage::Undecided), "one run at a time");
    node.progress(&["rare"]);
    assert_eq!(node.stage("rare"), Some(Stage::Cleared));
}

/// Runners that crash every few seconds by a fault of their own crash under many parts.
#[test]
fn decide_many_at_once_undecided() {
    let mut node = Node::new();
    let parts: Vec<String> = (0..12).map(|n| format!("p{n}")).collect();
    for _ in 0..3 {
        node.wait(SECOND);
        for part in &parts {
            let prompt = node.request(&[part]);
            node.crash_sent(&[prompt], true, 100 * MS);
        }
    }
    node.decide();
    for part in &parts {
        assert_eq!(node.stage(part), Some(Stage::Undecided), "{part}");
    }
}

/// A quarantined part is tried again at increasing intervals, at most three times.
#[test]
fn acquire_quarantined_three_trials() {
    let mut node = Node::new();
    node.quarantine(&["bad"]);
    let began = node.now;
    let mut tried = Vec::new();
    for s in 0..20_000 {
        node.now = began + s * SECOND;
        if node.core.is_trial_due(&part("bad"), node.now) {
            let answer = node.core.acquire(&part("bad"), true, question(s.into()), node.now);
            assert!(is_granted(answer));
            assert!(node.core.note_trial(&part("bad"), node.now).is_some());
            tried.push(s);
        } else {
            let answer = node.core.acquire(&part("bad"), true, question(s.into()), node.now);
            assert_eq!(answer, Answer::Refused);
        }
    }
    assert_eq!(tried, [120, 720, 2_520]);
}

/// A part that has been mended is cleared by its trial.
#[test]
fn note_progress_trial_cleared() {
    let mut node = Node::new();
    node.quarantine(&["bad"]);
    node.wait(120 * SECOND);
    node.core.note_trial(&part("bad"), node.now);
    node.progress(&["bad"]);
    let next = node.request(&["bad"]);
    assert_eq!(node.disposition(&next), Disposition::Free);
    node.quarantine(&["bad"]);
    assert_eq!(node.core.get(&part("bad")).map(|entry| entry.serial), Some(2));
}

/// A crash under a trial keeps the part quarantined.
#[test]
fn note_report_trial_crashed_still_quarantined() {
    let mut node = Node::new();
    node.quarantine(&["bad"]);
    node.wait(120 * SECOND);
    node.core.note_trial(&part("bad"), node.now);
    node.crash_times(&["bad"], 1);
    assert_eq!(node.stage("bad"), Some(Stage::Quarantined));
    assert!(!node.core.is_trial_due(&part("bad"), node.now + 500 * SECOND));
}

#[test]
fn release_by_operator_runs() {
    let mut node = Node::new();
    node.quarantine(&["bad"]);
    let change = node.core.release(&part("bad"), node.now).expect("it is quarantined");
    assert_eq!((change.was, change.cause), (Some(Stage::Quarantined), Cause::Released));
    assert_eq!(node.core.release(&part("bad"), node.now), None);
    let next = node.request(&["bad"]);
    assert_eq!(node.disposition(&next), Disposition::Free);
}

/// Any node may object to an entry of another: a run on the part has made progress there.
#[test]
fn apply_progress_since_first_crash_cleared() {
    let mut node = Node::new();
    node.crash_times(&["f"], 2);
    let entry = node.core.get(&part("f")).expect("restricted").clone();
    for (at, objects) in [(entry.first - SECOND, false), (entry.first + MS, true)] {
        let mut other = PartQuarantine::default();
        other.note_progress(&prompt(7, &["f"]), at);
        let changes = other.apply(entry.clone(), Cause::Heard, node.now);
        assert_eq!(changes.iter().any(|c| c.entry.stage == Stage::Cleared), objects);
    }
}

/// Entries reach the same state in whatever order they arrive.
#[test]
fn apply_any_order_same_entries() {
    let mut node = Node::new();
    node.quarantine(&["f", "bad"]);
    let quarantined = node.core.get(&part("bad")).expect("quarantined").clone();
    node.core.note_trial(&part("bad"), node.now);
    let tried = node.core.get(&part("bad")).expect("quarantined").clone();
    let context = Context::new();
    let narrowed = Entry { context, ..quarantined.clone() };
    let proposed = Entry { stage: Stage::Proposed, ..quarantined.clone() };
    let entries = [quarantined, tried, narrowed, proposed];
    let orders = [[0, 1, 2, 3], [3, 2, 1, 0], [1, 3, 0, 2], [2, 0, 3, 1]];
    let digests: Vec<u64> = orders
        .iter()
        .map(|order| {
            let mut other = PartQuarantine::default();
            for at in order {
                other.apply(entries[*at].clone(), Cause::Heard, node.now);
            }
            other.digest(node.now)
        })
        .collect();
    assert!(digests.iter().all(|digest| *digest == digests[0] && *digest != 0), "{digests:?}");
}

#[test]
fn apply_older_or_expired_no_change() {
    let mut node = Node::new();
    node.crash_times(&["bad"], 3);
    let proposed = node.core.get(&part("bad")).expect("proposed").clone();
    node.decide();
    assert!(node.core.apply(proposed.clone(), Cause::Heard, node.now).is_empty());
    let mut other = PartQuarantine::default();
    let late = node.now + 700 * SECOND;
    assert!(other.apply(proposed, Cause::Heard, late).is_empty());
}

/// A malformed entry with the greatest serial must not make a node panic.
#[test]
fn note_report_after_greatest_serial_no_change() {
    let mut node = Node::new();
    node.quarantine(&["bad"]);
    let last = node.core.get(&part("bad")).expect("quarantined").clone();
    let last = Entry { serial: u32::MAX, stage: Stage::Cleared, ..last };
    node.core.apply(last, Cause::Heard, node.now);
    node.crash_times(&["bad"], 4);
    assert_eq!(node.stage("bad"), Some(Stage::Cleared));
}

/// A caller that sends thousands of different parts displaces nothing that counts.
#[test]
fn note_report_thousands_of_parts_keeps_evidence() {
    let mut node = Node::new();
    node.quarantine(&["kept"]);
    node.crash_times(&["bad"], 2);
    for n in 0..3_000 {
        let parts: Vec<String> = (0..4).map(|m| format!("flood-{n}-{m}")).collect();
        let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
        let prompt = node.request(&parts);
        node.wait(MS);
        node.crash_sent(&[prompt], true, MS);
    }
    assert!(node.core.suspects() <= 4_096);
    node.crash_times(&["bad"], 1);
    node.decide();
    for id in ["kept", "bad"] {
        assert_eq!(node.stage(id), Some(Stage::Quarantined), "{id}");
    }
}

/// A prompt with thousands of parts is reported in bounded numbers, and not always the same ones.
#[test]
fn reports_thousands_of_parts_bounded() {
    let node = Node::new();
    let ids: Vec<String> = (0..2_000).map(|n| format!("p{n}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let long = prompt(1, &ids);
    let reported = |incarnation| {
        let sent = node.now;
        let context = Context::new();
        let (incarnation, at) = (Tag(incarnation), node.now);
        let crash = Crash { incarnation, at, begun: true, sent, context };
        node.core.reports(&long, &crash, node.now).now
    };
    let (first, second) = (reported(1), reported(2));
    assert_eq!((first.len(), second.len()), (256, 256));
    assert!(first.iter().all(|report| report.crash.context.len() <= MAX_CONTEXT));
    assert!(first.iter().any(|one| second.iter().all(|other| other.subject != one.subject)));
}

#[test]
fn expire_quarantined_after_a_day() {
    let mut node = Node::new();
    node.quarantine(&["bad"]);
    let since = node.now;
    assert!(node.core.expire(since + 86_399 * SECOND).is_empty());
    assert_eq!(node.core.expire(since + 86_400 * SECOND), [part("bad")]);
    assert_eq!(node.core.digest(since + 86_400 * SECOND), 0);
}

/// A node that has stalled, was partitioned, or has just started finds out by the digest that it
/// has missed an entry.
#[test]
fn note_digest_missed_found() {
    let mut node = Node::new();
    let (mut other, name) = (PartQuarantine::default(), "edge-0".parse().expect("an id"));
    node.quarantine(&["bad"]);
    let digest = node.core.digest(node.now);
    assert!(!other.note_digest(&name, digest, node.now), "the entry may still arrive");
    assert!(other.note_digest(&name, digest, node.now + SECOND));
    for entry in node.core.entries() {
        other.apply(entry.clone(), Cause::Heard, node.now + SECOND);
    }
    assert!(!other.note_digest(&name, digest, node.now + 3 * SECOND));
}

/// A request that ran beside a crashing part at three crashes is not at fault for them.
#[test]
fn unexplained_crashes_of_bystander_none() {
    let mut node = Node::new();
    node.quarantine(&["bad"]);
    let crashes = [Tag(1), Tag(2), Tag(3)];
    let bystander = Mark(77);
    assert_eq!(node.core.unexplained_by_parts(&crashes, bystander), 0);
    assert_eq!(node.core.unexplained_by_parts(&[Tag(1), Tag(2), Tag(9)], bystander), 1);
    assert_eq!(node.core.unexplained_by_parts(&[Tag(1), Tag(2), Tag(3), Tag(9)], bystander), 4);
}

/// The crashes are this request's alone, so its parts do not account for them.
#[test]
fn unexplained_crashes_of_one_request_all() {
    let mut node = Node::new();
    let crashing = node.request(&["a"]);
    for _ in 0..3 {
        node.crash(&crashing);
    }
    let crashes = [Tag(1), Tag(2), Tag(3)];
    assert_eq!(node.core.unexplained_by_parts(&crashes, crashing.request), 3);
}

/// Guards against refusing a sound part because its trial was queued at a runner that crashed for
/// another reason.
#[test]
fn decide_one_queued_trial_undecided() {
    let mut node = Node::new();
    for _ in 0..3 {
        let prompt = node.request(&["f"]);
        node.crash_sent(&[prompt], true, 100 * MS);
    }
    for expected in [Stage::Undecided, Stage::Quarantined] {
        node.wait(SECOND);
        let prompt = node.request(&["f"]);
        node.crash_sent(&[prompt], false, 100 * MS);
        assert_eq!(node.stage("f"), Some(Stage::Proposed));
        node.decide();
        assert_eq!(node.stage("f"), Some(expected));
    }
}

/// Guards against a node that has started since, and waits for two more trials to fail.
#[test]
fn note_report_crashes_counted_elsewhere_proposed() {
    let (mut other, mut node) = (Node::new(), Node::new());
    other.crash_times(&["bad"], 2);
    node.now = other.now;
    node.runners = other.runners;
    let entry = other.core.get(&part("bad")).expect("an entry").clone();
    node.core.apply(entry, Cause::Heard, node.now);
    node.crash_times(&["bad"], 1);
    assert_eq!(node.stage("bad"), Some(Stage::Proposed));
    node.decide();
    assert_eq!(node.stage("bad"), Some(Stage::Quarantined));
}

/// Guards against a proposal that nobody decides, after which the trials begin anew.
#[test]
fn note_report_after_undecided_proposal_proposed_again() {
    let mut node = Node::new();
    node.crash_times(&["bad"], 3);
    node.wait(3 * SECOND);
    node.crash_times(&["bad"], 1);
    assert_eq!(node.stage("bad"), Some(Stage::Proposed));
    node.decide();
    assert_eq!(node.stage("bad"), Some(Stage::Quarantined));
}
