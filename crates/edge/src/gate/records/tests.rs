use bytes::Bytes;

use super::*;

const DEADLINE: Millis = Millis(2_000);
const ALL_EXPIRED: Millis = Millis(60_000);

fn answered() -> GateEvent {
    GateEvent::Answered {
        head: AnswerHead {
            status: 200,
            fields: Vec::new(),
            notice: TargetNotice::default(),
            run_ms: Millis(120),
        },
        body: Bytes::from_static(b"receipt"),
    }
}

fn run(records: &mut Records, key: u128, at: Millis) {
    let key = CallKey(key);
    assert!(records.start(key, at + DEADLINE, at));
    records.end(key, answered());
}

/// Guards against removing all records of a burst at once. After a burst of a
/// thousand payments a second and a quiet period, all of them have expired, and the
/// next payment would wait milliseconds for their removal.
#[test]
fn an_expired_burst_is_removed_a_few_records_at_a_time() {
    let mut records = Records::new(u64::MAX);
    for key in 0..5_000 {
        run(&mut records, key, Millis(key as u64 / 5));
    }
    assert_eq!(records.len(), 5_000);
    for key in 5_000..6_000 {
        let before = records.len();
        run(&mut records, key, ALL_EXPIRED);
        let removed = before + 1 - records.len();
        assert!(
            removed <= MAX_EXPIRED_PER_CALL,
            "{removed} records removed by one call"
        );
    }
    assert_eq!(records.len(), 1_000, "the records of the burst are removed");
}

/// Guards against a growing number of expired records. Each call removes more
/// records than it adds, whatever the order of their deadlines.
#[test]
fn expired_records_do_not_accumulate() {
    let mut records = Records::new(u64::MAX);
    let mut max_records = 0;
    for key in 0..50_000_u128 {
        let at = Millis(key as u64);
        let deadline = Millis(if key.is_multiple_of(2) { 250 } else { 6_000 });
        assert!(records.start(CallKey(key), at + deadline, at));
        records.end(CallKey(key), answered());
        max_records = max_records.max(records.len());
    }
    // At one call per millisecond, half of the records are kept for 5.25 s and half
    // for 11 s.
    assert!(max_records <= 8_130, "{max_records}");
}

#[test]
fn a_record_is_kept_until_its_entry_can_no_longer_query_it() {
    let mut records = Records::new(u64::MAX);
    run(&mut records, 1, Millis::ZERO);
    let last = DEADLINE + RECORD_RETENTION_MS;
    run(&mut records, 2, Millis(last.0 - 1));
    let sink: Arc<EventSink> = Arc::new(Box::new(|_| {}));
    let result = records.fence(CallKey(1), &sink, Millis(last.0 - 1));
    assert!(matches!(result, FenceResult::Ended(_)), "{result:?}");
    run(&mut records, 3, last);
    assert_eq!(records.len(), 2);
}

/// Guards against recorded answers that fill the memory of the process: the oldest ones are
/// dropped, and a query for such a call says that it may have run.
#[test]
fn the_oldest_answers_are_dropped_beyond_the_limit() {
    let length = b"receipt".len() as u64;
    let mut records = Records::new(3 * length);
    for key in 0..5 {
        run(&mut records, key, Millis(0));
    }
    let sink: Arc<EventSink> = Arc::new(Box::new(|_| {}));
    for key in 0..5 {
        let found = records.fence(CallKey(key), &sink, Millis(0));
        let is_dropped = matches!(found, FenceResult::Ended(GateEvent::Ended(CallEnd::Broken)));
        assert_eq!(is_dropped, key < 2, "{key}: {found:?}");
    }
    for key in 5..50 {
        run(&mut records, key, ALL_EXPIRED);
    }
    assert_eq!(records.answer_bytes, 3 * length);
    assert!(!records.start(CallKey(49), ALL_EXPIRED, ALL_EXPIRED));
    assert!(records.answered.len() <= records.len());
}
