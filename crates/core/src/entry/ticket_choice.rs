//! Choosing the gate that a new ticket names.

use crate::entry::TargetIndex;
use crate::entry::score::ServiceAverages;
use crate::entry::table::TargetTable;
use crate::entry::target::Target;
use crate::prelude::*;

/// A first choice whose gate reported this many times its limit is passed over.
const FAR_OVER_RATIO: f32 = 4.0;
/// Weight of one outstanding call against one ticket ahead.
const LOAD_TIE_BREAK: f32 = 0.05;
/// Reports older than this say nothing about being far over.
const FAR_OVER_MAX_AGE_MS: Millis = Millis(2_000);

/// How willingly a gate is named; lower is preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    Usable,
    FarOver,
    Doubtful,
    Ejected,
}

/// Finds the gate for a key by rendezvous hashing: each key ranks all gates by
/// a hash of both and takes the first, so that nodes whose views agree name the
/// same gate, and a gate that leaves moves only its own keys.
///
/// A gate far over its limit, doubtful or ejected is passed over while a better
/// one is there. Then, and where views differ, a caller that comes back with
/// the same key but without its ticket can be given a second ticket at another
/// gate. The strict promise is per ticket; see the design note.
pub(crate) fn choose_for_key(
    table: &TargetTable,
    key: CallKey,
    now: Millis,
) -> Option<TargetIndex> {
    let mut best: Option<(Rank, u64, u32)> = None;
    for candidate in candidates(table, now) {
        let weight = weight(key, table.at(candidate.index));
        if best.is_some_and(|(known, heaviest, _)| {
            candidate.rank > known || (candidate.rank == known && weight <= heaviest)
        }) {
            continue;
        }
        best = Some((candidate.rank, weight, candidate.index));
    }
    best.map(|(_, _, index)| TargetIndex(index))
}

/// Finds the gate for a key that no caller has chosen, so that nobody can come
/// back with the key alone and nothing is gained by naming the same gate twice.
///
/// Failure answered: hashed keys fall like dice, and at 95% load a gate that
/// was drawn a few times too often refuses payments while its neighbour idles.
/// Turns are counted instead, with the load as last heard as a tie-break: on
/// the load alone all entries would flee to the same gate, since what they hear
/// is older than a payment lasts.
pub(crate) fn choose_in_turn(
    table: &TargetTable,
    averages: &ServiceAverages,
    slots: u32,
    now: Millis,
) -> Option<TargetIndex> {
    let mut best: Option<(Rank, f32, u32)> = None;
    for candidate in candidates(table, now) {
        let target = table.at(candidate.index);
        let load = target.stats.load_ratio(averages, slots, now) * slots as f32;
        let value = target.tickets_ahead + load * LOAD_TIE_BREAK;
        if best.is_some_and(|(known, lowest, _)| {
            candidate.rank > known || (candidate.rank == known && value >= lowest)
        }) {
            continue;
        }
        best = Some((candidate.rank, value, candidate.index));
    }
    best.map(|(_, _, index)| TargetIndex(index))
}

/// A gate that may be named, and how willingly.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    rank: Rank,
    index: u32,
}

fn candidates(table: &TargetTable, now: Millis) -> impl Iterator<Item = Candidate> + '_ {
    let tiers = [
        (&table.ready, Rank::Usable),
        (&table.doubtful, Rank::Doubtful),
        (&table.ejected, Rank::Ejected),
    ];
    let all = tiers
        .into_iter()
        .flat_map(|(tier, rank)| tier.iter().map(move |index| (*index, rank)));
    all.filter_map(move |(index, rank)| {
        let target = table.at(index);
        target.stats.report()?;
        let is_far_over = rank == Rank::Usable && is_far_over(target, now);
        let rank = if is_far_over { Rank::FarOver } else { rank };
        Some(Candidate { rank, index })
    })
}

fn is_far_over(target: &Target, now: Millis) -> bool {
    target.stats.reported_ratio_within(FAR_OVER_MAX_AGE_MS, now) >= FAR_OVER_RATIO
}

/// The finaliser of MurmurHash3 over both: cheap, and every bit of the key
/// changes the order of the gates.
fn weight(key: CallKey, target: &Target) -> u64 {
    let folded = (key.0 as u64) ^ ((key.0 >> 64) as u64).rotate_left(32);
    let mut mixed = folded ^ target.vm_hash;
    mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    mixed ^ (mixed >> 33)
}
