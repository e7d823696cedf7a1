//! Teams, their hard quotas and their shares of these.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, HashMap},
};

use model::{Class, Size, Team, Time};

use crate::{
    fit::share,
    units::{Allocation, TaskKey, UnitIx},
};

/// A team's number within one placer.
pub(crate) type TeamIx = usize;

#[derive(Clone, Debug, Default)]
struct Account {
    /// The quota; `None` if only units have named the team so far.
    quota: Option<Size>,
    /// The sum of the team's allocations and reservations.
    used: Size,
    claim: Option<Claim>,
    /// The running tasks that may be preempted, in the order of [`PreemptibleTask`].
    preemptible: BTreeSet<PreemptibleTask>,
}

/// A preemptible task. The lowest class is preempted first, and within a class the task that
/// started last.
type PreemptibleTask = (Class, Reverse<Time>, TaskKey);

/// A part of a team's quota that is set aside for one of its units.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Claim {
    pub(crate) unit: UnitIx,
    pub(crate) class: Class,
    pub(crate) size: Size,
}

/// All teams and what their tasks use.
#[derive(Clone, Debug, Default)]
pub(crate) struct Teams {
    by_name: HashMap<String, TeamIx>,
    accounts: Vec<Account>,
}

impl Teams {
    /// Returns a team's number, which is assigned on first use of the name.
    pub(crate) fn index(&mut self, name: &str) -> TeamIx {
        if let Some(ix) = self.by_name.get(name) {
            return *ix;
        }
        let ix = self.accounts.len();
        self.accounts.push(Account::default());
        self.by_name.insert(name.to_owned(), ix);
        ix
    }

    /// Sets a team's quota. Returns whether that changed anything.
    pub(crate) fn set(&mut self, team: &Team) -> bool {
        let ix = self.index(&team.name);
        let quota = Some(team.quota);
        let changed = self.accounts[ix].quota != quota;
        self.accounts[ix].quota = quota;
        changed
    }

    pub(crate) fn quota(&self, ix: TeamIx) -> Option<Size> {
        self.accounts[ix].quota
    }

    /// Returns whether the team's quota allows `size` more.
    pub(crate) fn allows(&self, ix: TeamIx, size: Size) -> bool {
        let account = &self.accounts[ix];
        let quota = account.quota;
        quota.is_some_and(|quota| (account.used + size).fits(&quota))
    }

    /// Returns whether the team's quota allows `size` more for a unit, in addition to a claim of
    /// another unit of the same or a higher class.
    pub(crate) fn allows_unit(&self, ix: TeamIx, unit: UnitIx, class: Class, size: Size) -> bool {
        let claim = self.accounts[ix].claim;
        let claim = claim.filter(|claim| claim.unit != unit && claim.class >= class);
        let claimed = claim.map_or(Size::ZERO, |claim| claim.size);
        self.allows(ix, size + claimed)
    }

    /// Claims a part of the quota for a unit, unless there is a claim already.
    pub(crate) fn claim(&mut self, ix: TeamIx, claim: Claim) {
        self.accounts[ix].claim.get_or_insert(claim);
    }

    /// Drops the claims of all teams.
    pub(crate) fn drop_claims(&mut self) {
        for account in &mut self.accounts {
            account.claim = None;
        }
    }

    /// Drops the team's claim if it is for this unit.
    pub(crate) fn drop_claim(&mut self, ix: TeamIx, unit: UnitIx) {
        let claim = &mut self.accounts[ix].claim;
        *claim = claim.filter(|claim| claim.unit != unit);
    }

    /// Returns by how much the team would exceed its quota with `size` more.
    pub(crate) fn excess(&self, ix: TeamIx, size: Size) -> Size {
        let account = &self.accounts[ix];
        account.used + size - account.quota.unwrap_or_default()
    }

    /// Returns the team's preemptible tasks in the order in which they are preempted.
    pub(crate) fn preemptible(&self, ix: TeamIx) -> impl Iterator<Item = TaskKey> {
        let tasks = self.accounts[ix].preemptible.iter();
        tasks.map(|(_, _, key)| *key)
    }

    /// Counts a task's allocation against its team.
    pub(crate) fn add_task(&mut self, key: TaskKey, allocation: &Allocation) {
        self.add_used(allocation.team, allocation.size);
        if allocation.kind.is_preemptible() {
            let tasks = &mut self.accounts[allocation.team].preemptible;
            tasks.insert((allocation.class, Reverse(allocation.since), key));
        }
    }

    /// Takes a task's allocation back out of its team's usage.
    pub(crate) fn remove_task(&mut self, key: TaskKey, allocation: &Allocation) {
        self.sub_used(allocation.team, allocation.size);
        let tasks = &mut self.accounts[allocation.team].preemptible;
        tasks.remove(&(allocation.class, Reverse(allocation.since), key));
    }

    pub(crate) fn add_used(&mut self, ix: TeamIx, size: Size) {
        self.accounts[ix].used += size;
    }

    pub(crate) fn sub_used(&mut self, ix: TeamIx, size: Size) {
        self.accounts[ix].used -= size;
    }

    /// Returns the largest share of its quota that the team uses in any dimension, in millionths
    /// (its dominant share).
    pub(crate) fn dominant_share(&self, ix: TeamIx) -> u64 {
        let account = &self.accounts[ix];
        let Some(quota) = account.quota else {
            return u64::MAX;
        };
        let used = account.used;
        share(used.milli_processors, quota.milli_processors)
            .max(share(used.memory_mb, quota.memory_mb))
            .max(share(
                u64::from(used.accelerators),
                u64::from(quota.accelerators),
            ))
    }
}
