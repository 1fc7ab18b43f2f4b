use super::*;

const EVEN: f64 = 1.0;

fn service() -> ServiceName {
    ServiceName::new("ledger")
}

/// Questions of two minutes, one tried each second; `answers` says whether the
/// question at that second is answered.
fn questions(asking: &mut Asking, from_s: u64, answers: impl Fn(u64) -> bool) -> Vec<u64> {
    let mut asked = Vec::new();
    for second in from_s..from_s + 120 {
        let now = Millis::from_secs(second);
        if !asking.is_due(&service(), now) {
            continue;
        }
        asking.note_question(&service(), EVEN, now);
        asked.push(second - from_s);
        if answers(second) {
            asking.note_heard(&service(), now);
        }
    }
    asked
}

#[test]
fn a_service_that_answers_is_asked_each_second() {
    let mut asking = Asking::default();
    assert_eq!(questions(&mut asking, 0, |_| true).len(), 120);
}

/// A service is asked by more callers than it answers. The caller asks less
/// and less often, at last once a minute; as soon as it is answered again it
/// asks sooner, and after a few answers each second.
#[test]
fn silence_spaces_questions_and_answers_bring_them_back() {
    let mut asking = Asking::default();
    let asked = questions(&mut asking, 0, |_| false);
    assert_eq!(asked, [0, 1, 3, 7, 15, 31, 63]);
    let later = questions(&mut asking, 120, |_| false);
    assert_eq!(later, [3, 63]);
    let back = questions(&mut asking, 240, |_| true);
    assert_eq!(back[..5], [3, 33, 48, 56, 60]);
    assert_eq!(back.last(), Some(&119));
}

/// One datagram in three is lost: hardly a question is left out.
#[test]
fn single_losses_do_not_add_up() {
    let mut asking = Asking::default();
    let asked = questions(&mut asking, 0, |second| second % 3 != 0);
    assert!(asked.len() >= 70, "{} questions", asked.len());
}

/// After a partition, members of the service speak of their own accord.
#[test]
fn an_unasked_word_ends_a_long_pause() {
    let mut asking = Asking::default();
    questions(&mut asking, 0, |_| false);
    let now = Millis::from_secs(124);
    assert!(asking.is_due(&service(), now));
    asking.note_question(&service(), EVEN, now);
    for word in 1..=6 {
        asking.note_heard(&service(), now + Millis(word));
    }
    assert!(asking.is_due(&service(), now + Millis(7)));
}

#[test]
fn services_no_longer_held_are_forgotten() {
    let mut asking = Asking::default();
    questions(&mut asking, 0, |_| false);
    assert!(!asking.is_due(&service(), Millis::from_secs(100)));
    asking.retain(&[]);
    assert!(asking.is_due(&service(), Millis::from_secs(100)));
}
