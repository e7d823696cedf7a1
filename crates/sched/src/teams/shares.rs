//! The fair shares of teams in a full fleet: weighted max-min fairness over the dominant resource (Ghodsi et al.,
//! "Dominant Resource Fairness", NSDI 2011).
//!
//! All teams' shares grow together, in proportion to their weights. A team's share stops to grow once it covers the
//! team's demand, or once a resource that the team needs is used up.

use model::Size;

use super::dimensions;

/// The smallest weight. A team without an entitlement gets what is left over by the others.
const MIN_WEIGHT: f64 = 1e-6;

/// What a team runs and wants to run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Claim {
    pub(crate) weight: f64,
    pub(crate) demand: Size,
}

/// A claim whose share still grows.
struct ActiveClaim {
    index: usize,
    weight: f64,
    /// The dominant share of the whole demand.
    dominant: f64,
    /// What each unit of the dominant share needs of each resource.
    needs: [f64; 3],
    is_growing: bool,
}

impl ActiveClaim {
    /// Returns the level at which the share covers the demand.
    fn satisfied_at(&self) -> f64 {
        self.dominant / self.weight
    }
}

/// Returns the part of the dominant resource of `size` in `capacity`. Resources of which there are none do not count.
pub(crate) fn dominant_share(size: Size, capacity: Size) -> f64 {
    fractions(size, capacity).into_iter().fold(0.0, f64::max)
}

fn fractions(size: Size, capacity: Size) -> [f64; 3] {
    let (size, capacity) = (dimensions(size), dimensions(capacity));
    std::array::from_fn(|r| {
        if capacity[r] == 0 {
            0.0
        } else {
            to_f64(size[r]) / to_f64(capacity[r])
        }
    })
}

/// Returns the fair share of each claim, as a part of its dominant resource. A claim that needs nothing is never above
/// its share.
pub(crate) fn fair_shares(capacity: Size, claims: &[Claim]) -> Vec<f64> {
    let mut shares = vec![f64::INFINITY; claims.len()];
    let mut active: Vec<ActiveClaim> = Vec::new();
    for (index, claim) in claims.iter().enumerate() {
        let needs = fractions(claim.demand, capacity);
        let dominant = needs.into_iter().fold(0.0, f64::max);
        if dominant > 0.0 {
            active.push(ActiveClaim {
                index,
                weight: claim.weight.max(MIN_WEIGHT),
                dominant,
                needs: needs.map(|need| need / dominant),
                is_growing: true,
            });
        }
    }
    active.sort_by(|a, b| a.satisfied_at().total_cmp(&b.satisfied_at()));
    let mut left = [1.0_f64; 3];
    let mut speed = [0.0_f64; 3];
    for claim in &active {
        change_speed(&mut speed, claim, 1.0);
    }
    let mut level = 0.0;
    let mut next = 0;
    while next < active.len() {
        if !active[next].is_growing {
            next += 1;
            continue;
        }
        let satisfied_at = active[next].satisfied_at();
        let used_up = (0..3)
            .filter(|&r| speed[r] > 1e-12)
            .map(|r| (level + left[r].max(0.0) / speed[r], r))
            .min_by(|a, b| a.0.total_cmp(&b.0));
        let until = used_up.map_or(satisfied_at, |(at, _)| at.min(satisfied_at));
        for r in 0..3 {
            left[r] -= speed[r] * (until - level);
        }
        level = until;
        if let Some((_, r)) = used_up.filter(|&(at, _)| at < satisfied_at) {
            let limited = |claim: &&mut ActiveClaim| claim.is_growing && claim.needs[r] > 0.0;
            for claim in active.iter_mut().filter(limited) {
                claim.is_growing = false;
                shares[claim.index] = claim.weight * level;
                change_speed(&mut speed, claim, -1.0);
            }
            // Rounding must not leave a resource that nobody needs any more.
            speed[r] = 0.0;
        } else {
            let claim = &mut active[next];
            claim.is_growing = false;
            shares[claim.index] = claim.dominant;
            change_speed(&mut speed, claim, -1.0);
            next += 1;
        }
    }
    shares
}

fn change_speed(speed: &mut [f64; 3], claim: &ActiveClaim, sign: f64) {
    for (speed, need) in speed.iter_mut().zip(claim.needs) {
        *speed += sign * claim.weight * need;
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "sizes are far below the exact range"
)]
pub(crate) const fn to_f64(value: u64) -> f64 {
    value as f64
}
