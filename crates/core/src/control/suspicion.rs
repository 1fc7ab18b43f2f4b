//! Spreading what is held against requests.
//!
//! A request that crashes targets is sent again by its caller, to another
//! gate of the service. The word must be there first, so it goes at once to
//! peers of the service; heartbeats repeat it. It stays within the service:
//! its gates refuse for everybody.

use hornbeamhitch_wire::control::{DatagramBody, SuspectNote};

use super::board::{Board, Controller, Dirt, Input};
use crate::prelude::*;
use crate::suspects::{SuspectEntry, Suspects, SuspicionLevel};

/// Peers told by the node that saw the crash.
const FIRST_FAN_OUT: usize = 16;
/// Peers told by a node that hears of it.
const FAN_OUT: usize = 3;

/// The controller of suspicion.
#[derive(Debug, Default)]
pub(super) struct Suspicion;

impl Suspicion {
    fn tell(board: &mut Board, notes: Vec<SuspectNote>, fan_out: usize) {
        board.soil(Dirt::Routes);
        let service = board.settings.service.clone();
        let rng = &mut board.rng;
        let kin = board
            .members
            .choose(rng, fan_out, |member| member.service == service);
        for recipient in kin {
            let body = DatagramBody::Suspicion {
                suspects: notes.clone(),
            };
            board.send(recipient.control, body);
        }
    }

    fn found(board: &mut Board, entry: &SuspectEntry) {
        if board.suspects.merge(entry, board.now) {
            Self::tell(board, vec![note_of(entry)], FIRST_FAN_OUT);
        }
    }

    fn hear(board: &mut Board, notes: &[SuspectNote]) {
        let mut news = Vec::new();
        for note in notes {
            let Some(entry) = entry_of(note) else {
                continue;
            };
            if board.suspects.merge(&entry, board.now) {
                news.push(*note);
            }
        }
        if !news.is_empty() {
            Self::tell(board, news, FAN_OUT);
        }
    }
}

impl Controller for Suspicion {
    fn on_input(&mut self, input: &Input, board: &mut Board) {
        match input {
            Input::Suspicion(entry) => Self::found(board, entry),
            Input::Datagram(datagram) if datagram.from.service == board.settings.service => {
                match &datagram.body {
                    DatagramBody::Suspicion { suspects } => Self::hear(board, suspects),
                    DatagramBody::Heartbeat(heartbeat) => Self::hear(board, &heartbeat.suspects),
                    _ => {}
                }
            }
            _ => {}
        }
    }

    fn on_tick(&mut self, board: &mut Board) {
        if board.suspects.tick(board.now) {
            board.soil(Dirt::Routes);
        }
    }
}

/// The entries found last, for heartbeats.
pub(super) fn youngest(suspects: &Suspects, count: usize, now: Millis) -> Vec<SuspectNote> {
    let mut entries: Vec<SuspectEntry> = suspects.entries(now).collect();
    entries.sort_by_key(|entry| entry.age_ms);
    entries.truncate(count);
    entries.iter().map(note_of).collect()
}

fn note_of(entry: &SuspectEntry) -> SuspectNote {
    SuspectNote {
        fingerprint: entry.fingerprint,
        version: entry.version,
        standing: match entry.standing {
            SuspicionLevel::Clear => 0,
            SuspicionLevel::Suspect => 1,
            SuspicionLevel::Convicted => 2,
        },
        crashes: entry.crashes,
        age_ms: entry.age_ms,
    }
}

fn entry_of(note: &SuspectNote) -> Option<SuspectEntry> {
    let standing = match note.standing {
        0 => SuspicionLevel::Clear,
        1 => SuspicionLevel::Suspect,
        2 => SuspicionLevel::Convicted,
        _ => return None,
    };
    Some(SuspectEntry {
        fingerprint: note.fingerprint,
        version: note.version,
        standing,
        crashes: note.crashes,
        age_ms: note.age_ms,
    })
}
