//! Choosing the gate that a new ticket names.

use crate::entry::table::TargetTable;
use crate::entry::target::Target;
use crate::prelude::*;

/// A first choice whose gate reported this many times its limit is passed over.
const FAR_OVER_RATIO: f32 = 4.0;
/// Reports older than this say nothing about being far over.
const FAR_OVER_BELIEVED_MS: Millis = Millis(2_000);

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
pub(crate) fn choose(table: &TargetTable, key: CallKey, now: Millis) -> Option<&Target> {
    let mut best: Option<(Rank, u64, &Target)> = None;
    for (tier, rank) in [
        (&table.ready, Rank::Usable),
        (&table.doubtful, Rank::Doubtful),
        (&table.ejected, Rank::Ejected),
    ] {
        for index in tier {
            let target = table.at(*index);
            if target.stats.report().is_none() {
                continue;
            }
            let rank = if rank == Rank::Usable && is_far_over(target, now) {
                Rank::FarOver
            } else {
                rank
            };
            let weight = weight(key, target);
            if best.is_some_and(|(known, heaviest, _)| {
                rank > known || (rank == known && weight <= heaviest)
            }) {
                continue;
            }
            best = Some((rank, weight, target));
        }
    }
    best.map(|(_, _, target)| target)
}

fn is_far_over(target: &Target, now: Millis) -> bool {
    target
        .stats
        .reported_ratio_within(FAR_OVER_BELIEVED_MS, now)
        >= FAR_OVER_RATIO
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
