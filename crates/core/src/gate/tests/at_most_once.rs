//! A ticketed call starts at most once, and "not run" remains true.

use super::*;

const END: u64 = TICKET_TTL_MS;

#[test]
fn duplicates_join_or_replay_and_never_start() {
    // The caller's stream breaks and it sends the same ticket again: while the
    // call waits, while it runs, and after it has ended. It must get the same
    // answer each time, because a second run would charge twice.
    let mut gate = gate(&policy());
    let first = run_of(gate.arrive(&plain(FAR_DEADLINE_MS), Millis(1)));
    let ticket = ticket(1, END);
    let run = run_of(gate.arrive(&with_ticket(&ticket), Millis(2)));
    assert_eq!(
        gate.arrive(&with_ticket(&ticket), Millis(3)),
        Verdict::Join(run)
    );
    let wakes = gate.finish(first, answered_plain(), 1_000, Millis(4));
    assert_eq!(wakes, [Wake::Start(run)]);
    assert_eq!(
        gate.arrive(&with_ticket(&ticket), Millis(5)),
        Verdict::Join(run)
    );
    let wakes = gate.finish(run, answered(10), 1_000, Millis(6));
    let answer = Settlement::Answered(stored(10));
    assert_eq!(wakes, [Wake::Settled(run, answer)]);
    let replay = gate.arrive(&with_ticket(&ticket), Millis(7));
    assert_eq!(replay, Verdict::Replay(stored(10)));
    assert_eq!(gate.active_calls(), 0);
}

#[test]
fn late_duplicate_of_a_refused_call_stays_refused() {
    // The gate is full and refuses with "not run". The caller gets a ticket for
    // another gate and is served there. A late duplicate of the first send then
    // arrives when this gate is idle. It must not start.
    let mut gate = gate(&policy());
    let running = run_of(gate.arrive(&plain(FAR_DEADLINE_MS), Millis(1)));
    let waiting = [2, 3].map(|now| run_of(gate.arrive(&plain(FAR_DEADLINE_MS), Millis(now))));
    let ticket = ticket(1, END);
    let Verdict::Refuse(refusal) = gate.arrive(&with_ticket(&ticket), Millis(4)) else {
        panic!("a full gate must refuse");
    };
    assert_eq!(refusal.code, ResultCode::Overloaded);
    for run in [running, waiting[0], waiting[1]] {
        gate.finish(run, answered_plain(), 1_000, Millis(5));
    }
    assert_eq!(gate.active_calls(), 0);
    let fenced = Refusal {
        code: ResultCode::Fenced,
        ..refusal
    };
    let late = gate.arrive(&with_ticket(&ticket), Millis(6));
    assert_eq!(late, Verdict::Refuse(fenced));
}

#[test]
fn fence_wins_over_a_late_packet() {
    // The entry's stream to the gate breaks before the entry knows whether the
    // request arrived. The entry sends a fence, receives "not run", and the
    // caller moves on. The delayed request arrives afterwards and must not run.
    let mut gate = gate(&policy());
    let ticket = ticket(1, END);
    let answer = gate.fence(&ticket, Millis(1));
    assert_eq!(fence_code(answer), ResultCode::Fenced);
    let late = gate.arrive(&with_ticket(&ticket), Millis(2));
    assert_eq!(code_of(late), ResultCode::Fenced);
}

#[test]
fn fence_of_a_waiting_call_notifies_every_caller() {
    // The call waits, another send has joined it, and a fence arrives. All of
    // them must receive "not run", and no start may follow.
    let mut gate = gate(&policy());
    let first = run_of(gate.arrive(&plain(FAR_DEADLINE_MS), Millis(1)));
    let ticket = ticket(1, END);
    let run = run_of(gate.arrive(&with_ticket(&ticket), Millis(2)));
    gate.arrive(&with_ticket(&ticket), Millis(3));
    let answer = gate.fence(&ticket, Millis(4));
    assert_eq!(fence_code(answer), ResultCode::Fenced);
    let wakes = gate.take_wakes();
    assert!(refused(run, ResultCode::Fenced, &wakes), "{wakes:?}");
    assert!(settled(run, ResultCode::Fenced, &wakes), "{wakes:?}");
    let wakes = gate.finish(first, answered_plain(), 1_000, Millis(5));
    assert_eq!(wakes, []);
}

#[test]
fn fence_of_a_running_call_waits_for_its_end() {
    // The call has started when the fence arrives, so "not run" would be false.
    // The fence returns the run, and its end follows.
    let mut gate = gate(&policy());
    let ticket = ticket(1, END);
    let run = run_of(gate.arrive(&with_ticket(&ticket), Millis(1)));
    let answer = gate.fence(&ticket, Millis(2));
    assert_eq!(answer, FenceAnswer::Running(run));
    let wakes = gate.finish(run, RunEnd::Broken, 1_000, Millis(3));
    assert!(settled(run, ResultCode::RunBroken, &wakes), "{wakes:?}");
    let answer = gate.fence(&ticket, Millis(4));
    assert_eq!(fence_code(answer), ResultCode::RunBroken);
}

#[test]
fn broken_or_cancelled_run_is_unknown_for_good() {
    // The target's connection breaks during a payment, or the run is cancelled.
    // Whether the payment was charged is unknown, so the gate must neither run
    // it again nor report that it did not run.
    let mut gate = gate(&policy());
    for (key, end) in [(1, RunEnd::Broken), (2, RunEnd::Cancelled)] {
        let ticket = ticket(key, END);
        let run = run_of(gate.arrive(&with_ticket(&ticket), Millis(1)));
        gate.finish(run, end, 1_000, Millis(2));
        let again = gate.arrive(&with_ticket(&ticket), Millis(3));
        assert_eq!(code_of(again), ResultCode::RunBroken);
    }
}

#[test]
fn call_that_the_target_did_not_run_is_fenced() {
    // The target rejects the call, or no connection to it can be opened.
    // Nothing ran, all waiting callers get that answer, and no late duplicate
    // starts the call.
    let mut gate = gate(&policy());
    let ends = [
        (1, RunEnd::NotRun, ResultCode::Overloaded),
        (2, RunEnd::Unreachable, ResultCode::NoTarget),
    ];
    for (key, end, code) in ends {
        let ticket = ticket(key, END);
        let run = run_of(gate.arrive(&with_ticket(&ticket), Millis(1)));
        gate.arrive(&with_ticket(&ticket), Millis(1));
        let wakes = gate.finish(run, end, 1_000, Millis(2));
        assert!(settled(run, code, &wakes), "{wakes:?}");
        let again = gate.arrive(&with_ticket(&ticket), Millis(3));
        assert_eq!(code_of(again), ResultCode::Fenced);
    }
}

#[test]
fn process_pause_does_not_start_expired_calls() {
    // The process is stopped for a minute while calls wait, and the first event
    // after it resumes is the end of a run. The callers have given up, so their
    // payments must not start now.
    let mut gate = gate(&policy());
    let first = run_of(gate.arrive(&plain(500), Millis(1)));
    let ticket = ticket(1, END);
    let arrival = Arrival {
        deadline_at: Millis(500),
        ..with_ticket(&ticket)
    };
    let waiting = run_of(gate.arrive(&arrival, Millis(2)));
    let wakes = gate.finish(first, answered_plain(), 1_000, Millis(60_000));
    let code = ResultCode::DeadlineTooShort;
    assert!(!wakes.contains(&Wake::Start(waiting)), "{wakes:?}");
    assert!(refused(waiting, code, &wakes), "{wakes:?}");
    assert!(settled(waiting, code, &wakes), "{wakes:?}");
    let again = gate.arrive(&with_ticket(&ticket), Millis(60_001));
    assert_eq!(code_of(again), ResultCode::Fenced);
}

#[test]
fn thread_with_an_old_time_cannot_revive_a_ticket() {
    // A thread reads the clock, is paused, and gets the gate's lock after
    // another thread has seen the ticket expire and its record was removed. By
    // the paused thread's time the ticket is valid and unknown.
    let mut gate = gate(&policy());
    let ticket = ticket(1, 1_000);
    let run = run_of(gate.arrive(&with_ticket(&ticket), Millis(1)));
    gate.finish(run, answered(10), 1_000, Millis(2));
    gate.tick(Millis(1_000));
    assert_eq!(gate.record_count(), 0);
    let late = gate.arrive(&with_ticket(&ticket), Millis(999));
    assert_eq!(code_of(late), ResultCode::TicketExpired);
}

#[test]
fn another_incarnation_never_runs_the_ticket() {
    // The process was replaced on the same VM and address. The new incarnation
    // has no records, so it can neither run the call nor report that it did not
    // run.
    let policy = policy();
    let mut gate = gate_of("vm-1", Incarnation(8), &policy);
    let ticket = ticket(1, END);
    let verdict = gate.arrive(&with_ticket(&ticket), Millis(1));
    assert_eq!(code_of(verdict), ResultCode::WrongGate);
    let answer = gate.fence(&ticket, Millis(2));
    assert_eq!(fence_code(answer), ResultCode::GateLost);
}

#[test]
fn expired_ticket_is_answered_from_its_record_only() {
    // A caller returns late. While the record exists, the caller gets its
    // answer. Afterwards the outcome is unknown, and a fence must not report
    // "not run" either.
    let mut gate = gate(&policy());
    let ticket = ticket(1, 1_000);
    let run = run_of(gate.arrive(&with_ticket(&ticket), Millis(1)));
    gate.tick(Millis(5_000));
    assert_eq!(
        gate.arrive(&with_ticket(&ticket), Millis(5_000)),
        Verdict::Join(run)
    );
    gate.finish(run, answered(10), 1_000, Millis(5_001));
    let replay = gate.arrive(&with_ticket(&ticket), Millis(5_002));
    assert_eq!(replay, Verdict::Replay(stored(10)));
    gate.tick(Millis(9_000));
    let late = gate.arrive(&with_ticket(&ticket), Millis(9_001));
    assert_eq!(code_of(late), ResultCode::TicketExpired);
    let answer = gate.fence(&ticket, Millis(9_002));
    assert_eq!(fence_code(answer), ResultCode::GateLost);
}

#[test]
fn full_records_refuse_new_keys_and_forget_none() {
    // The records are full of settled calls whose tickets are valid. Removing
    // one would let its duplicate run, so new keys are refused with "not yet"
    // until records expire.
    let mut gate = gate(&policy());
    for key in 0..8 {
        let run = run_of(gate.arrive(&with_ticket(&ticket(key, 1_000)), Millis(1)));
        gate.finish(run, RunEnd::Broken, 1_000, Millis(2));
    }
    let fresh = ticket(100, 2_000);
    let verdict = gate.arrive(&with_ticket(&fresh), Millis(3));
    assert_eq!(code_of(verdict), ResultCode::RecordsFull);
    let old = gate.arrive(&with_ticket(&ticket(0, 1_000)), Millis(4));
    assert_eq!(code_of(old), ResultCode::RunBroken);
    let verdict = gate.arrive(&with_ticket(&fresh), Millis(1_000));
    assert!(matches!(verdict, Verdict::Run(_)), "{verdict:?}");
}

#[test]
fn fence_holds_even_when_records_are_full() {
    // A fence arrives for a key that never arrived, and no record can be added.
    // The floor fences it along with all unknown tickets that expire no later;
    // keys with a record are not affected.
    let mut gate = gate(&policy());
    for key in 0..8 {
        let run = run_of(gate.arrive(&with_ticket(&ticket(key, 1_000)), Millis(1)));
        gate.finish(run, answered(1), 1_000, Millis(2));
    }
    let unknown = ticket(100, 2_000);
    assert_eq!(
        fence_code(gate.fence(&unknown, Millis(3))),
        ResultCode::Fenced
    );
    for now in [4, 1_500] {
        let late = gate.arrive(&with_ticket(&unknown), Millis(now));
        assert_eq!(code_of(late), ResultCode::Fenced, "at {now}");
    }
    let earlier = gate.arrive(&with_ticket(&ticket(101, 1_900)), Millis(1_500));
    assert_eq!(code_of(earlier), ResultCode::Fenced);
    let known = gate.arrive(&with_ticket(&ticket(0, 1_000)), Millis(1_500));
    assert_eq!(known, Verdict::Replay(stored(1)));
    let later = gate.arrive(&with_ticket(&ticket(102, 2_001)), Millis(1_500));
    assert!(matches!(later, Verdict::Run(_)), "{later:?}");
}

#[test]
fn refusals_leave_room_for_calls_that_run() {
    // In an overload, refused calls return with a new ticket each time. If each
    // refusal used a record, no record would be left for calls that could be
    // served. Beyond half of the records the refusal is "not yet".
    let mut gate = gate(&policy());
    let running = run_of(gate.arrive(&plain(FAR_DEADLINE_MS), Millis(1)));
    for now in [1, 2] {
        run_of(gate.arrive(&plain(FAR_DEADLINE_MS), Millis(now)));
    }
    let mut codes = Vec::new();
    for key in 0..6 {
        let verdict = gate.arrive(&with_ticket(&ticket(key, END)), Millis(3));
        codes.push(code_of(verdict));
    }
    assert_eq!(codes[..4], [ResultCode::Overloaded; 4]);
    assert_eq!(codes[4..], [ResultCode::RecordsFull; 2]);
    gate.finish(running, answered_plain(), 1_000, Millis(4));
    let verdict = gate.arrive(&with_ticket(&ticket(5, END)), Millis(5));
    assert!(matches!(verdict, Verdict::Wait(_)), "{verdict:?}");
}

#[test]
fn answer_that_cannot_be_kept_is_not_run_again() {
    // The answer is larger than what may be stored, alone or together with
    // others. The caller's duplicate cannot be answered, but must not run.
    let mut gate = gate(&policy());
    for (key, bytes) in [(1, 1_001), (2, 1_000), (3, 1_000), (4, 1)] {
        let run = run_of(gate.arrive(&with_ticket(&ticket(key, END)), Millis(1)));
        gate.finish(run, answered(bytes), 1_000, Millis(2));
    }
    assert_eq!(gate.stored_bytes(), 2_000);
    for key in [1, 4] {
        let again = gate.arrive(&with_ticket(&ticket(key, END)), Millis(3));
        assert_eq!(code_of(again), ResultCode::AnswerNotKept);
    }
    let kept = gate.arrive(&with_ticket(&ticket(2, END)), Millis(3));
    assert_eq!(kept, Verdict::Replay(stored(1_000)));
    gate.tick(Millis(END));
    assert_eq!(gate.stored_bytes(), 0);
}

#[test]
fn key_with_another_body_is_refused_and_changes_nothing() {
    // A caller reuses its key for another payment. The answer of the first
    // payment must not be returned for the second.
    let mut gate = gate(&policy());
    let ticket = ticket(1, END);
    let run = run_of(gate.arrive(&with_ticket(&ticket), Millis(1)));
    let other = Arrival {
        digest: 43,
        ..with_ticket(&ticket)
    };
    let verdict = gate.arrive(&other, Millis(2));
    assert_eq!(code_of(verdict), ResultCode::KeyReused);
    gate.finish(run, answered(1), 1_000, Millis(3));
    let verdict = gate.arrive(&other, Millis(4));
    assert_eq!(code_of(verdict), ResultCode::KeyReused);
    let same = gate.arrive(&with_ticket(&ticket), Millis(5));
    assert_eq!(same, Verdict::Replay(stored(1)));
}

#[test]
fn second_ticket_refused_as_not_run_stays_refused() {
    // Two tickets of one key were issued. The first is fenced, then the second,
    // which expires later, is refused because the gate is leaving. After the
    // first has expired, a late duplicate of the second must still not start.
    let mut gate = gate(&policy());
    let (first, second) = (ticket(1, 1_000), ticket(1, 1_040));
    gate.fence(&first, Millis(1));
    gate.set_leaving(true);
    let verdict = gate.arrive(&with_ticket(&second), Millis(2));
    assert_eq!(code_of(verdict), ResultCode::Leaving);
    gate.set_leaving(false);
    for now in 2..1_040 {
        gate.tick(Millis(now));
        let late = gate.arrive(&with_ticket(&second), Millis(now));
        assert_eq!(code_of(late), ResultCode::Fenced, "at {now}");
    }
}

#[test]
fn fenced_key_runs_under_a_newer_ticket_and_never_under_the_old() {
    // An overload refuses a payment with "not run". The caller returns with the
    // same idempotency key and gets a newer ticket for the same gate. The
    // payment must run now and not after minutes, and a late duplicate of the
    // refused send must be refused before, during and after that run.
    let mut gate = gate(&policy());
    let (old, new) = (ticket(1, 1_000), ticket(1, 1_001));
    gate.fence(&old, Millis(1));
    let late = gate.arrive(&with_ticket(&old), Millis(2));
    assert_eq!(code_of(late), ResultCode::Fenced);
    let run = run_of(gate.arrive(&with_ticket(&new), Millis(3)));
    let late = gate.arrive(&with_ticket(&old), Millis(4));
    assert_eq!(code_of(late), ResultCode::Fenced);
    assert_eq!(gate.fence(&new, Millis(5)), FenceAnswer::Running(run));
    assert_eq!(fence_code(gate.fence(&old, Millis(5))), ResultCode::Fenced);
    gate.finish(run, answered(1), 1_000, Millis(6));
    let late = gate.arrive(&with_ticket(&old), Millis(7));
    assert_eq!(code_of(late), ResultCode::Fenced);
    let again = gate.arrive(&with_ticket(&new), Millis(8));
    assert_eq!(again, Verdict::Replay(stored(1)));
    assert_eq!(gate.record_count(), 1);
}

#[test]
fn key_that_ran_is_replayed_to_a_newer_ticket() {
    // A caller violates its contract and gets a second ticket although the
    // first was answered. The same gate still knows the key and replays the
    // answer.
    let mut gate = gate(&policy());
    let (first, second) = (ticket(1, 1_000), ticket(1, 2_000));
    let run = run_of(gate.arrive(&with_ticket(&first), Millis(1)));
    gate.finish(run, answered(1), 1_000, Millis(2));
    let again = gate.arrive(&with_ticket(&second), Millis(3));
    assert_eq!(again, Verdict::Replay(stored(1)));
}

#[test]
fn second_record_does_not_deny_the_run_under_an_expired_ticket() {
    // The first ticket ran and its record was removed at its expiry. A second
    // ticket of the same key is fenced. A duplicate of the first must not get
    // "not run" from the second's record.
    let mut gate = gate(&policy());
    let (first, second) = (ticket(1, 1_000), ticket(1, 3_000));
    let run = run_of(gate.arrive(&with_ticket(&first), Millis(1)));
    gate.finish(run, answered(1), 1_000, Millis(2));
    gate.tick(Millis(2_000));
    gate.fence(&second, Millis(2_001));
    let late = gate.arrive(&with_ticket(&first), Millis(2_002));
    assert_eq!(code_of(late), ResultCode::TicketExpired);
    let answer = gate.fence(&first, Millis(2_003));
    assert_eq!(fence_code(answer), ResultCode::GateLost);
}

#[test]
fn ticket_that_expires_absurdly_late_never_runs() {
    // A faulty issuer creates a ticket that is valid for a day. Its record
    // would be kept for a day, so the ticket is refused, and stays refused when
    // its expiry is near. Many such tickets must not fill the records for a day
    // either.
    let mut policy = policy();
    policy.max_records = 1_000;
    let mut gate = gate(&policy);
    let day_ms = 86_400_000;
    let mut codes = Vec::new();
    for key in 0..65 {
        let verdict = gate.arrive(&with_ticket(&ticket(key, day_ms)), Millis(1));
        codes.push(code_of(verdict));
    }
    assert_eq!(codes[..64], [ResultCode::BadRequest; 64]);
    assert_eq!(codes[64], ResultCode::RecordsFull);
    let late = gate.arrive(&with_ticket(&ticket(0, day_ms)), Millis(day_ms - 10));
    assert_eq!(code_of(late), ResultCode::Fenced);
}

#[test]
fn waiting_call_is_dropped_when_its_last_caller_leaves() {
    // The first caller of a waiting call leaves after another has joined, and
    // the call stays. When the second one leaves too, the key is fenced.
    let mut gate = gate(&policy());
    let running = run_of(gate.arrive(&plain(FAR_DEADLINE_MS), Millis(1)));
    let ticket = ticket(1, END);
    let run = run_of(gate.arrive(&with_ticket(&ticket), Millis(2)));
    gate.arrive(&with_ticket(&ticket), Millis(3));
    gate.abandon(run, Millis(4));
    assert_eq!(gate.active_calls(), 2);
    gate.abandon(run, Millis(5));
    assert_eq!(gate.active_calls(), 1);
    assert_eq!(
        gate.finish(running, answered_plain(), 1, Millis(6)),
        Vec::new()
    );
    let again = gate.arrive(&with_ticket(&ticket), Millis(7));
    assert_eq!(code_of(again), ResultCode::Fenced);
}

#[test]
fn started_call_goes_on_without_its_caller() {
    // The caller of a running payment disconnects. The run continues, and its
    // answer is available when the caller returns.
    let mut gate = gate(&policy());
    let ticket = ticket(1, END);
    let run = run_of(gate.arrive(&with_ticket(&ticket), Millis(1)));
    assert_eq!(gate.abandon(run, Millis(2)), Vec::new());
    gate.finish(run, answered(1), 1_000, Millis(3));
    let again = gate.arrive(&with_ticket(&ticket), Millis(4));
    assert_eq!(again, Verdict::Replay(stored(1)));
}
