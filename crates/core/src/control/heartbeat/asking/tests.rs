use super::*;

const NO_JITTER: f64 = 1.0;

fn service() -> ServiceName {
    ServiceName::new("ledger")
}

/// Returns the times of the requests within two minutes, with one attempt per second.
/// `answers` decides whether the request of a given second is answered.
fn request_times(
    requests: &mut ReplyRequests,
    from_s: u64,
    answers: impl Fn(u64) -> bool,
) -> Vec<u64> {
    let mut sent_at = Vec::new();
    for second in from_s..from_s + 120 {
        let now = Millis::from_secs(second);
        if !requests.is_due(&service(), now) {
            continue;
        }
        requests.note_request(&service(), NO_JITTER, now);
        sent_at.push(second - from_s);
        if answers(second) {
            requests.note_message(&service(), now);
        }
    }
    sent_at
}

#[test]
fn a_service_that_answers_gets_a_request_each_second() {
    let mut requests = ReplyRequests::default();
    assert_eq!(request_times(&mut requests, 0, |_| true).len(), 120);
}

/// A service with more callers than it can answer. Without answers, the caller sends
/// requests less and less often, finally once a minute. With answers it sends them
/// sooner, and after a few of them every second.
#[test]
fn unanswered_requests_back_off_and_answers_end_the_backoff() {
    let mut requests = ReplyRequests::default();
    let sent_at = request_times(&mut requests, 0, |_| false);
    assert_eq!(sent_at, [0, 1, 3, 7, 15, 31, 63]);
    let later = request_times(&mut requests, 120, |_| false);
    assert_eq!(later, [3, 63]);
    let back = request_times(&mut requests, 240, |_| true);
    assert_eq!(back[..5], [3, 33, 48, 56, 60]);
    assert_eq!(back.last(), Some(&119));
}

/// One datagram in three is lost, and few requests are skipped.
#[test]
fn single_losses_hardly_delay_requests() {
    let mut requests = ReplyRequests::default();
    let sent_at = request_times(&mut requests, 0, |second| second % 3 != 0);
    assert!(sent_at.len() >= 70, "{} requests", sent_at.len());
}

/// After a partition, members of the service send heartbeats unsolicited.
#[test]
fn unsolicited_messages_end_a_long_backoff() {
    let mut requests = ReplyRequests::default();
    request_times(&mut requests, 0, |_| false);
    let now = Millis::from_secs(124);
    assert!(requests.is_due(&service(), now));
    requests.note_request(&service(), NO_JITTER, now);
    for offset_ms in 1..=6 {
        requests.note_message(&service(), now + Millis(offset_ms));
    }
    assert!(requests.is_due(&service(), now + Millis(7)));
}

#[test]
fn services_no_longer_tracked_are_forgotten() {
    let mut requests = ReplyRequests::default();
    request_times(&mut requests, 0, |_| false);
    assert!(!requests.is_due(&service(), Millis::from_secs(100)));
    requests.retain(&[]);
    assert!(requests.is_due(&service(), Millis::from_secs(100)));
}
