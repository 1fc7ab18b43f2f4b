//! Tests of the load tool: its callers with scripted nodes, and its reconciliation
//! with targets.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::future::BoxFuture;
use hornbeamhitch_standins::http_server::{
    Answer, Connection, DropConnection, Handler, HttpServer, control_channel, read_body,
    text_answer,
};
use hornbeamhitch_standins::load::{
    self, CallKind, CallRecord, CallerLimits, Destination, LoadOutcome, LoadPlan, Pacing, Verdict,
};
use hornbeamhitch_standins::target::echo::{EchoRequest, digest, echo_body};
use hornbeamhitch_standins::target::{
    RequestMarks, RunEnd, RunRecord, ServiceTime, TargetConfig, TargetStandin, headers,
};
use hornbeamhitch_types::clock::Millis;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;

/// How a scripted node handles the next request.
#[derive(Clone, Copy)]
enum ScriptStep {
    Answer,
    Redirect,
    Code(u16),
    /// With `hitch-next-ticket`.
    CodeAndTicket(u16),
    Drop,
    Tickets,
}

/// Script that several entries follow together, and the requests that they received.
struct Script {
    steps: Mutex<VecDeque<ScriptStep>>,
    seen: Mutex<Vec<Seen>>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Seen {
    entry: SocketAddr,
    path: String,
    try_number: String,
}

struct ScriptedNode {
    script: Arc<Script>,
    addr: Arc<Mutex<Option<SocketAddr>>>,
}

impl Handler for ScriptedNode {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        connection: Connection,
    ) -> BoxFuture<'static, Result<Answer, DropConnection>> {
        Box::pin(async move {
            let (head, body) = request.into_parts();
            let body = read_body(body).await.unwrap();
            let header = |name: &str| match head.headers.get(name) {
                Some(value) => value.to_str().unwrap().to_owned(),
                None => String::new(),
            };
            let entry = *self.addr.lock();
            self.script.seen.lock().push(Seen {
                entry: entry.unwrap(),
                path: head.uri.path().to_owned(),
                try_number: header(headers::TRY),
            });
            let step = self.script.steps.lock().pop_front();
            let step = step.expect("the script has a step for each request");
            let mut answer = text_answer(StatusCode::OK, "");
            match step {
                ScriptStep::Drop => {
                    connection.reset_when_dropped();
                    return Err(DropConnection);
                }
                ScriptStep::Redirect => {
                    *answer.status_mut() = StatusCode::TEMPORARY_REDIRECT;
                    set(&mut answer, "hitch-code", "1100");
                    set(&mut answer, "location", "/.hitch/t/first/cashier/charge");
                }
                ScriptStep::Code(code) => set(&mut answer, "hitch-code", &code.to_string()),
                ScriptStep::CodeAndTicket(code) => {
                    set(&mut answer, "hitch-code", &code.to_string());
                    set(&mut answer, "hitch-next-ticket", "next");
                }
                ScriptStep::Tickets => {
                    let json = r#"{"tickets": ["fetched"], "valid_ms": 120000}"#;
                    return Ok(text_answer(StatusCode::OK, json));
                }
                ScriptStep::Answer => {
                    let echo = echo_body(&EchoRequest {
                        nonce: &header(headers::NONCE),
                        method: head.method.as_str(),
                        path: "/charge",
                        body: &body,
                        answer_bytes: 0,
                    });
                    answer = text_answer(StatusCode::OK, echo.clone());
                    set(&mut answer, "hitch-code", "1000");
                    set(&mut answer, headers::DIGEST, &digest(&echo));
                }
            }
            set(&mut answer, "hitch-retry-after-ms", "1");
            Ok(answer)
        })
    }
}

fn set<B>(answer: &mut Response<B>, name: &'static str, value: &str) {
    answer.headers_mut().insert(name, value.parse().unwrap());
}

fn charge() -> CallKind {
    CallKind {
        name: "charge".to_owned(),
        service: "cashier".to_owned(),
        method: "POST".to_owned(),
        path: "/charge".to_owned(),
        idempotent: false,
        body_bytes: 100,
        ..CallKind::default()
    }
}

/// Sends one charge through two entries that follow the steps of a script.
async fn charge_by(steps: &[ScriptStep], limits: CallerLimits) -> (CallRecord, Vec<Seen>) {
    let script = Arc::new(Script {
        steps: Mutex::new(steps.iter().copied().collect()),
        seen: Mutex::default(),
    });
    let mut servers = Vec::new();
    let mut addrs = Vec::new();
    for _ in 0..2 {
        let addr = Arc::new(Mutex::new(None));
        let node = Arc::new(ScriptedNode {
            script: Arc::clone(&script),
            addr: Arc::clone(&addr),
        });
        let (_control, end) = control_channel();
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = HttpServer::start(any_port, node, end).await.unwrap();
        *addr.lock() = Some(server.addr());
        addrs.push(server.addr());
        servers.push((server, _control));
    }
    let outcome = load::run(LoadPlan {
        destination: Destination::Nodes(addrs),
        kinds: vec![charge()],
        calls: 1,
        rate_per_s: 1_000.0,
        caller: limits,
        ..LoadPlan::default()
    })
    .await
    .unwrap();
    assert!(
        script.steps.lock().is_empty(),
        "the caller did not use all steps of the script"
    );
    let seen = script.seen.lock().clone();
    (outcome.records[0].clone(), seen)
}

fn paths(seen: &[Seen]) -> Vec<&str> {
    seen.iter().map(|seen| seen.path.as_str()).collect()
}

const PLAIN: &str = "/cashier/charge";
const FIRST: &str = "/.hitch/t/first/cashier/charge";
const NEXT: &str = "/.hitch/t/next/cashier/charge";

/// The connection breaks after the charge was sent with its ticket. The caller must
/// resend the same ticket through the other entry and nothing else, because a new
/// ticket could charge twice.
#[tokio::test]
async fn a_broken_charge_keeps_its_ticket() {
    let steps = [ScriptStep::Redirect, ScriptStep::Drop, ScriptStep::Answer];
    let (record, seen) = charge_by(&steps, CallerLimits::default()).await;
    assert_eq!(record.verdict, Verdict::Answered);
    assert!(!record.wrong_answer);
    assert_eq!(paths(&seen), [PLAIN, FIRST, FIRST]);
    assert_ne!(seen[1].entry, seen[2].entry);
    assert_eq!(
        (record.sends, record.broken_sends, record.tickets),
        (3, 1, 1)
    );
    assert!(record.not_run_tries.is_empty());
}

#[tokio::test]
async fn not_run_takes_the_next_ticket_or_fetches_one() {
    let steps = [
        ScriptStep::Redirect,
        ScriptStep::CodeAndTicket(1101),
        ScriptStep::Answer,
    ];
    let (record, seen) = charge_by(&steps, CallerLimits::default()).await;
    assert_eq!(record.verdict, Verdict::Answered);
    assert_eq!(paths(&seen), [PLAIN, FIRST, NEXT]);
    assert_eq!(record.not_run_tries, [0]);
    assert_eq!(seen[2].try_number, "1");

    let steps = [
        ScriptStep::Redirect,
        ScriptStep::Code(1103),
        ScriptStep::Tickets,
        ScriptStep::Answer,
    ];
    let (record, seen) = charge_by(&steps, CallerLimits::default()).await;
    assert_eq!(record.verdict, Verdict::Answered);
    assert_eq!(seen[2].path, "/.hitch/tickets/cashier");
    assert_eq!(seen[3].path, "/.hitch/t/fetched/cashier/charge");
}

#[tokio::test]
async fn not_yet_and_pending_keep_the_ticket() {
    let steps = [
        ScriptStep::Redirect,
        ScriptStep::Code(1201),
        ScriptStep::Code(1401),
        ScriptStep::Answer,
    ];
    let (record, seen) = charge_by(&steps, CallerLimits::default()).await;
    assert_eq!(record.verdict, Verdict::Answered);
    assert_eq!(paths(&seen), [PLAIN, FIRST, FIRST, FIRST]);
    assert!(record.not_run_tries.is_empty());
}

/// The gate of the ticket is gone. A new ticket is safe if every earlier send
/// certainly did not run. After a broken connection it is not, and the caller must
/// stop.
#[tokio::test]
async fn a_dead_ticket_is_replaced_only_when_it_cannot_have_run() {
    let steps = [
        ScriptStep::Redirect,
        ScriptStep::Code(1202),
        ScriptStep::CodeAndTicket(1301),
        ScriptStep::Answer,
    ];
    let (record, seen) = charge_by(&steps, CallerLimits::default()).await;
    assert_eq!(record.verdict, Verdict::Answered);
    assert_eq!(paths(&seen), [PLAIN, FIRST, FIRST, NEXT]);

    let steps = [
        ScriptStep::Redirect,
        ScriptStep::Drop,
        ScriptStep::CodeAndTicket(1301),
    ];
    let (record, _) = charge_by(&steps, CallerLimits::default()).await;
    assert_eq!(record.verdict, Verdict::Unknown);
}

#[tokio::test]
async fn unknown_stops_or_resends_the_same_ticket() {
    let steps = [ScriptStep::Redirect, ScriptStep::Code(2101)];
    let (record, _) = charge_by(&steps, CallerLimits::default()).await;
    assert_eq!(record.verdict, Verdict::Unknown);

    let limits = CallerLimits {
        unknown_resends: 1,
        ..CallerLimits::default()
    };
    let steps = [
        ScriptStep::Redirect,
        ScriptStep::Code(2101),
        ScriptStep::Answer,
    ];
    let (record, seen) = charge_by(&steps, limits).await;
    assert_eq!(record.verdict, Verdict::Answered);
    assert_eq!(paths(&seen), [PLAIN, FIRST, FIRST]);
}

#[tokio::test]
async fn tries_are_bounded() {
    let limits = CallerLimits {
        max_tickets: 2,
        ..CallerLimits::default()
    };
    let steps = [
        ScriptStep::Redirect,
        ScriptStep::CodeAndTicket(1101),
        ScriptStep::Code(1101),
    ];
    let (record, _) = charge_by(&steps, limits).await;
    assert_eq!(record.verdict, Verdict::NotRun);
    assert_eq!(record.not_run_tries, [0, 1]);

    let limits = CallerLimits {
        max_sends: 3,
        ..CallerLimits::default()
    };
    let steps = [
        ScriptStep::Redirect,
        ScriptStep::Drop,
        ScriptStep::Code(1202),
    ];
    let (record, _) = charge_by(&steps, limits).await;
    assert_eq!(record.verdict, Verdict::Unknown);
}

#[tokio::test]
async fn prefetched_tickets_avoid_the_redirect() {
    let limits = CallerLimits {
        tickets_ahead: 1,
        ..CallerLimits::default()
    };
    let (record, seen) = charge_by(&[ScriptStep::Tickets, ScriptStep::Answer], limits).await;
    assert_eq!(record.verdict, Verdict::Answered);
    assert_eq!(seen[1].path, "/.hitch/t/fetched/cashier/charge");
}

#[tokio::test]
async fn direct_calls_go_straight_to_targets() {
    let target = TargetStandin::start(TargetConfig {
        service_time: ServiceTime::Exponential { mean_us: 1_000 },
        ..TargetConfig::default()
    })
    .await
    .unwrap();
    let by_service = BTreeMap::from([("cashier".to_owned(), vec![target.addr()])]);
    let read = CallKind {
        name: "price".to_owned(),
        service: "cashier".to_owned(),
        answer_bytes: 3_000,
        tenants: vec!["passports".to_owned()],
        ..CallKind::default()
    };
    let outcome = load::run(LoadPlan {
        destination: Destination::Targets(by_service),
        kinds: vec![charge(), read],
        calls: 300,
        rate_per_s: 1_000.0,
        pacing: Pacing::Even,
        ..LoadPlan::default()
    })
    .await
    .unwrap();
    let report = outcome.report(Some(&target.all_runs()));
    assert!(report.is_clean(), "{}", report.table());
    assert_eq!(report.calls, 300);
    assert_eq!(report.verdicts["answered"], 300);
    assert_eq!(target.all_runs().len(), 300);
    let all = report.latency["all"];
    assert_eq!(all.count, 300);
    assert!(all.p50_us >= 100 && all.p50_us <= all.p99_us, "{all:?}");
    assert!(
        all.p99_us <= all.max_us && all.max_us < 10_000_000,
        "{all:?}"
    );
    assert!(report.latency["tenant passports"].count < 300);
    assert!(report.json().unwrap().contains("\"p999_us\""));
}

fn run(nonce: &str, try_number: u64, end: RunEnd) -> RunRecord {
    RunRecord {
        run: 0,
        target: "cashier-1".to_owned(),
        marks: RequestMarks {
            nonce: Some(nonce.to_owned()),
            try_number: Some(try_number),
            ..RequestMarks::default()
        },
        started_at_ms: Millis::ZERO,
        ended_at_ms: None,
        end,
        status: None,
    }
}

fn record(nonce: &str, verdict: Verdict, not_run_tries: &[u64]) -> CallRecord {
    CallRecord {
        nonce: nonce.to_owned(),
        kind: 0,
        tenant: None,
        verdict,
        status: None,
        code: None,
        wrong_answer: false,
        not_run_tries: not_run_tries.to_vec(),
        codes: Vec::new(),
        sends: 1,
        tickets: 1,
        broken_sends: 0,
        latency_us: 1,
        from_send_us: 1,
    }
}

/// The reconciliation must report each kind of fault; otherwise a clean report proves
/// nothing.
#[test]
fn reconciliation_reports_each_fault() {
    let records = vec![
        record("fine", Verdict::Answered, &[0]),
        record("lost", Verdict::Answered, &[]),
        record("cancelled", Verdict::Answered, &[]),
        record("twice", Verdict::Answered, &[]),
        record("lied", Verdict::Answered, &[0]),
        record("refused", Verdict::NotRun, &[0]),
        record("unknown-ran", Verdict::Unknown, &[]),
        record("unknown-not", Verdict::Unknown, &[]),
    ];
    let runs = [
        run("fine", 1, RunEnd::Finished),
        run("cancelled", 0, RunEnd::Cancelled),
        run("twice", 0, RunEnd::Cancelled),
        run("twice", 0, RunEnd::Finished),
        run("lied", 0, RunEnd::Finished),
        run("refused", 0, RunEnd::Running),
        run("unknown-ran", 0, RunEnd::Crashed),
    ];
    let outcome = LoadOutcome {
        plan: LoadPlan {
            kinds: vec![charge()],
            ..LoadPlan::default()
        },
        records,
        elapsed: std::time::Duration::from_secs(1),
    };
    let sum = outcome.reconcile(&runs);
    assert!(!sum.is_clean());
    assert_eq!((sum.lost, sum.run_twice, sum.not_run_but_ran), (2, 1, 2));
    assert_eq!(
        (sum.unknown, sum.unknown_ran, sum.unknown_not_ran),
        (2, 1, 1)
    );
    let table = outcome.report(Some(&runs)).table();
    assert!(table.contains("run twice: twice"), "{table}");
}
