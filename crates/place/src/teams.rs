//! Teams, their hard quotas and their shares.

use std::collections::HashMap;

use model::{Size, Team};

use crate::fit::share;

/// A team's number within one placer.
pub(crate) type TeamIx = usize;

#[derive(Clone, Debug, Default)]
struct Account {
    /// `None` while the team was only named by a unit.
    quota: Option<Size>,
    used: Size,
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

    pub(crate) fn add(&mut self, ix: TeamIx, size: Size) {
        self.accounts[ix].used += size;
    }

    pub(crate) fn sub(&mut self, ix: TeamIx, size: Size) {
        self.accounts[ix].used -= size;
    }

    /// The greatest part of its quota that the team holds in any dimension, in millionths.
    pub(crate) fn share(&self, ix: TeamIx) -> u64 {
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
