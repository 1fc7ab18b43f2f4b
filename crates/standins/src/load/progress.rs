//! Progress of one call, and what its caller can conclude from it.

use std::time::Instant;

use crate::http_client::WholeAnswer;
use crate::prelude::*;

use super::answer::Meaning;
use super::caller::Call;
use super::record::{CallRecord, Verdict};

/// Progress of a call.
pub(super) struct Progress {
    pub(super) started_at: Instant,
    pub(super) body: Bytes,
    pub(super) ticket_path: Option<String>,
    /// Number of the current try, from 0. A ticketed call counts tickets, an
    /// idempotent call counts sends.
    pub(super) try_number: u64,
    /// No send of the current try can have run.
    pub(super) certainly_not_run: bool,
    /// An earlier try of an idempotent call may have run.
    earlier_try_may_have_run: bool,
    pub(super) entry: usize,
    pub(super) faults: u32,
    pub(super) unknowns: u32,
    pub(super) record: CallRecord,
}

impl Progress {
    /// Creates the progress of a call before its first send.
    pub(super) fn begin(call: &Call<'_>, body: Bytes, entry: usize) -> Self {
        Self {
            started_at: Instant::now(),
            body,
            ticket_path: None,
            try_number: 0,
            certainly_not_run: true,
            earlier_try_may_have_run: false,
            entry,
            faults: 0,
            unknowns: 0,
            record: CallRecord {
                nonce: call.nonce.clone(),
                kind: call.kind_index,
                tenant: call.tenant.clone(),
                verdict: Verdict::NotRun,
                status: None,
                code: None,
                wrong_answer: false,
                not_run_tries: Vec::new(),
                codes: Vec::new(),
                sends: 0,
                tickets: 0,
                broken_sends: 0,
                latency_us: 0,
                from_send_us: 0,
            },
        }
    }

    pub(super) fn note(&mut self, answer: &WholeAnswer, meaning: &Meaning) {
        self.record.status = Some(answer.status.as_u16());
        self.record.code = meaning.code;
        self.record.codes.push(meaning.code.unwrap_or(0));
    }

    pub(super) fn redirect(&mut self, path: &str) {
        self.ticket_path = Some(path.to_owned());
        self.record.tickets += 1;
    }

    pub(super) fn use_ticket(&mut self, call: &Call<'_>, ticket: Option<String>) {
        let Some(ticket) = ticket else {
            return;
        };
        let prefix = header::TICKETED_PREFIX;
        let (service, path) = (&call.kind.service, &call.kind.path);
        self.redirect(&format!("{prefix}{ticket}/{service}{path}"));
    }

    /// Starts the next try of an idempotent call. Each send is a try of its own,
    /// because "not run" refers to that send only.
    pub(super) fn next_idempotent_try(&mut self) {
        self.earlier_try_may_have_run |= !self.certainly_not_run;
        self.certainly_not_run = true;
        self.try_number += 1;
    }

    pub(super) fn conclude_not_run(&mut self) {
        self.certainly_not_run = true;
        if self.record.not_run_tries.last() != Some(&self.try_number) {
            self.record.not_run_tries.push(self.try_number);
        }
    }

    pub(super) fn not_run_verdict(&self) -> Verdict {
        match self.earlier_try_may_have_run {
            true => Verdict::Unknown,
            false => Verdict::NotRun,
        }
    }

    pub(super) fn give_up(&mut self) -> Verdict {
        if !self.certainly_not_run {
            return Verdict::Unknown;
        }
        self.conclude_not_run();
        self.not_run_verdict()
    }
}
