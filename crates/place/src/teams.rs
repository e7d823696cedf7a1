//! Teams, their hard quotas and their shares.

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
    /// `None` while the team was only named by a unit.
    quota: Option<Size>,
    used: Size,
    claim: Option<Claim>,
    /// Running tasks that may be interrupted: lowest class, then latest start first.
    preemptible: BTreeSet<PreemptibleTask>,
}

/// A task in the order in which a team's own tasks make way.
type PreemptibleTask = (Class, Reverse<Time>, TaskKey);

/// A part of a team's quota that is kept for one of its units.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Claim {
    pub(crate) unit: UnitIx,
    pub(crate) class: Class,
    pub(crate) size: Size,
}

/// The teams and what their tasks hold.
#[derive(Clone, Debug, Default)]
pub(crate) struct Teams {
    by_name: HashMap<String, TeamIx>,
    accounts: Vec<Account>,
}

impl Teams {
    pub(crate) fn index(&mut self, name: &str) -> TeamIx {
        if let Some(ix) = self.by_name.get(name) {
            return *ix;
        }
        let ix = self.accounts.len();
        self.accounts.push(Account::default());
        self.by_name.insert(name.to_owned(), ix);
        ix
    }

    /// Sets a quota and returns whether that changed anything.
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

    /// Whether the team may hold `size` more.
    pub(crate) fn allows(&self, ix: TeamIx, size: Size) -> bool {
        let account = &self.accounts[ix];
        let quota = account.quota;
        quota.is_some_and(|quota| (account.used + size).fits(&quota))
    }

    /// Whether a unit of the team may hold `size` more, with regard to what is kept for another.
    pub(crate) fn allows_unit(&self, ix: TeamIx, unit: UnitIx, class: Class, size: Size) -> bool {
        let claim = self.accounts[ix].claim;
        let claim = claim.filter(|claim| claim.unit != unit && claim.class >= class);
        let kept = claim.map_or(Size::ZERO, |claim| claim.size);
        self.allows(ix, size + kept)
    }

    /// Keeps a part of the quota for a unit, unless it is kept for another already.
    pub(crate) fn claim(&mut self, ix: TeamIx, claim: Claim) {
        self.accounts[ix].claim.get_or_insert(claim);
    }

    pub(crate) fn drop_claims(&mut self) {
        for account in &mut self.accounts {
            account.claim = None;
        }
    }

    /// Ends what is kept for a unit.
    pub(crate) fn drop_claim(&mut self, ix: TeamIx, unit: UnitIx) {
        let claim = &mut self.accounts[ix].claim;
        *claim = claim.filter(|claim| claim.unit != unit);
    }

    /// What the team would hold beyond its quota with `size` more.
    pub(crate) fn excess(&self, ix: TeamIx, size: Size) -> Size {
        let account = &self.accounts[ix];
        account.used + size - account.quota.unwrap_or_default()
    }

    /// The team's running tasks that may be interrupted, in the order in which they make way.
    pub(crate) fn preemptible(&self, ix: TeamIx) -> impl Iterator<Item = TaskKey> {
        let tasks = self.accounts[ix].preemptible.iter();
        tasks.map(|(_, _, key)| *key)
    }

    pub(crate) fn add_task(&mut self, key: TaskKey, allocation: &Allocation) {
        self.add_used(allocation.team, allocation.size);
        if allocation.kind.is_preemptible() {
            let tasks = &mut self.accounts[allocation.team].preemptible;
            tasks.insert((allocation.class, Reverse(allocation.since), key));
        }
    }

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

    /// The greatest part of its quota that the team holds in any dimension, in millionths.
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
