//! Choosing the gate for which a new ticket is issued.

use crate::entry::TargetIndex;
use crate::entry::score::ServiceAverages;
use crate::entry::table::TargetTable;
use crate::entry::target::Target;
use crate::prelude::*;

/// A gate whose reported load is at least this many times its limit is avoided.
const FAR_OVER_RATIO: f32 = 4.0;
/// Weight of one outstanding call relative to one ticket ahead.
const LOAD_TIE_BREAK: f32 = 0.05;
/// Maximum age of a report for deciding that a gate is far over its limit.
const FAR_OVER_MAX_AGE_MS: Millis = Millis(2_000);

/// Preference among gates; lower ranks are preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    Usable,
    FarOver,
    Doubtful,
    Ejected,
}

/// Chooses the gate for a key by rendezvous hashing: each gate gets a hash of
/// the key and its VM, and the highest hash wins. Nodes whose views agree
/// choose the same gate, and a gate that leaves moves only its own keys.
///
/// A gate that is far over its limit, doubtful or ejected is avoided while a
/// better one is available. In that case, and where views differ, a caller that
/// returns with the same key but without its ticket can get a second ticket for
/// another gate. The at-most-once guarantee holds per ticket; see the design
/// note.
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

/// Chooses the gate for a key that was generated here. No caller can return
/// with only such a key, so there is no need to choose the same gate twice.
///
/// With hashed keys the distribution is random, and at 95% load a gate that is
/// drawn a few times too often refuses payments while its neighbour is idle.
/// Therefore tickets are counted, and the last reported load breaks ties. With
/// the load alone, all entries would choose the same gate, because the reports
/// are older than a payment lasts.
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

/// A gate that may be chosen, and its rank.
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

/// Mixes a key and a VM hash with the finaliser of MurmurHash3. It is cheap,
/// and every bit of the key affects the order of the gates.
fn weight(key: CallKey, target: &Target) -> u64 {
    let folded = (key.0 as u64) ^ ((key.0 >> 64) as u64).rotate_left(32);
    let mut mixed = folded ^ target.vm_hash;
    mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    mixed ^ (mixed >> 33)
}
