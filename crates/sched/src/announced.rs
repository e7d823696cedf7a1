//! Jobs that a node has announced while it stores them.
//!
//! While the table is slow, a job waits for several answers of the table one after the other: for the job's own row, for
//! the feed, and for the row of its first start. A node therefore announces a job while it stores the job's row. The
//! scheduler decides the starts of an announced job and stores them, but holds their effects: it sends no order,
//! publishes no state and counts nothing as pending before the job's row is known to be stored. An announcement that is
//! not confirmed in time is withdrawn: the capacity is released and the progress row is deleted.
//!
//! A scheduler that was replaced without noticing it can still learn that an announced job is stored, and send its
//! orders, after its successor has read the table. The successor has then read progress without a job. It keeps such
//! progress, an *orphan*, until every worker in it has answered a poll under the new epoch without listing a run of that
//! job: from then on the worker refuses the orders of the former scheduler. If the job's row appears earlier, the job
//! continues from the orphan. A list that has runs of an orphan is not used before the job's row has appeared, because
//! its runs and ends would otherwise be taken for those of an unknown job.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use jobs::{Job, JobId, Progress};
use model::{Time, WorkerId};

use crate::{Action, Listing, Now, Scheduler, scheduler::Effect};

/// How long an announcement is kept without news. The nodes retry a transaction for 2.5 s.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(3);

/// The most open announcements. It bounds the memory and the capacity that jobs take which may never be stored. At 80
/// jobs per second and 1 s per transaction, 80 are open.
const MAX_ANNOUNCEMENTS: usize = 512;

/// The outcome of storing an announced job's row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// The row is stored with the announced content.
    Stored,
    /// The row was not stored by the announcing node, and never will be.
    NotStored,
}

/// Counts of announcements since the scheduler was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnnouncementCounts {
    /// The number of announcements that are neither confirmed nor withdrawn.
    pub open: usize,
    /// The number of jobs whose rows were stored after they were announced.
    pub confirmed: u64,
    /// The number of announcements that were withdrawn.
    pub withdrawn: u64,
    /// The number of jobs whose progress was found without their rows and may still be in use.
    pub orphans: usize,
}

/// A job that is not known to be stored.
#[derive(Debug)]
struct Announcement {
    /// The digest of the encoded row, which tells whether a message is about the same content.
    digest: u64,
    /// When the announcement is withdrawn.
    until: Time,
    /// The effects whose changes are stored, in order.
    held: Vec<Effect>,
}

/// Progress whose job was not in the table when this scheduler read it.
#[derive(Debug)]
struct Orphan {
    progress: Progress,
    /// The workers in it that have not answered under this scheduler's epoch.
    unheard: BTreeSet<Arc<str>>,
    /// When it is deleted even if some of them have never answered: every lease of the former scheduler has lapsed.
    until: Time,
}

/// The announced jobs, and the progress that announced jobs may have left behind.
#[derive(Debug, Default)]
pub(crate) struct Announced {
    jobs: BTreeMap<JobId, Announcement>,
    orphans: BTreeMap<JobId, Orphan>,
    confirmed: u64,
    withdrawn: u64,
}

impl Announced {
    /// Returns the workers that may still be given runs of orphans.
    pub(crate) fn orphan_workers(&self) -> impl Iterator<Item = &Arc<str>> {
        let orphans = self.orphans.values();
        orphans.flat_map(|orphan| &orphan.unheard)
    }

    /// Returns whether a job is announced and not known to be stored.
    pub(crate) fn contains(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id)
    }

    /// Holds an effect of an announced job. Returns the effect if its job is not announced.
    pub(crate) fn hold(&mut self, effect: Effect) -> Option<Effect> {
        match self.jobs.get_mut(&effect.job()) {
            Some(announcement) => {
                announcement.held.push(effect);
                None
            }
            None => Some(effect),
        }
    }

    /// Returns when the next announcement or orphan expires.
    pub(crate) fn next_expiry(&self) -> Option<Time> {
        let jobs = self.jobs.values().map(|announcement| announcement.until);
        let orphans = self.orphans.values().map(|orphan| orphan.until);
        jobs.chain(orphans).min()
    }
}

impl Scheduler {
    /// Adds a job that a node is storing. `digest` identifies the content of its row. Does nothing if the job or its
    /// cancellation is already known, or if too many announcements are open.
    pub fn job_announced(&mut self, now: Now, id: JobId, job: Job, digest: u64) {
        self.drop_refused_orphan(id, &job);
        let is_known = self.jobs.contains_key(&id)
            || self.announced.orphans.contains_key(&id)
            || self.early_cancels.contains_key(&id);
        if self.is_deposed || is_known || self.announced.jobs.len() >= MAX_ANNOUNCEMENTS {
            return;
        }
        let announcement = Announcement {
            digest,
            until: now.time + ANNOUNCEMENT_TIMEOUT,
            held: Vec::new(),
        };
        self.announced.jobs.insert(id, announcement);
        self.add_new_job(now, id, job);
    }

    /// Handles the outcome of storing the row of an announced job with the content that `digest` identifies.
    pub fn job_settled(&mut self, now: Now, id: JobId, digest: u64, settlement: Settlement) {
        let announcement = self.announced.jobs.get(&id);
        if announcement.is_none_or(|announcement| announcement.digest != digest) {
            return;
        }
        match settlement {
            Settlement::Stored => self.confirm(now, id),
            Settlement::NotStored => self.withdraw_announcement(now.time, id),
        }
    }

    /// Returns counts of announcements.
    #[must_use]
    pub fn announcement_counts(&self) -> AnnouncementCounts {
        AnnouncementCounts {
            open: self.announced.jobs.len(),
            confirmed: self.announced.confirmed,
            withdrawn: self.announced.withdrawn,
            orphans: self.announced.orphans.len(),
        }
    }

    /// Adds a job whose row has appeared in the table, unless it is already known.
    pub(crate) fn add_stored_job(&mut self, now: Now, id: JobId, job: Job) {
        if self.announced.contains(id) {
            let is_same = (self.jobs.get(&id)).is_some_and(|entry| *entry.job == job);
            if is_same {
                self.confirm(now, id);
                return;
            }
            // Another node has stored a job with the same id and other content.
            self.withdraw_announcement(now.time, id);
        }
        if self.jobs.contains_key(&id) {
            return;
        }
        self.drop_refused_orphan(id, &job);
        match self.announced.orphans.remove(&id) {
            Some(orphan) if orphan.progress.suits(&job) => {
                self.adopt(now, id, job, orphan.progress);
            }
            Some(_) => {
                self.forgotten.push(id);
                self.add_new_job(now, id, job);
            }
            None => self.add_new_job(now, id, job),
        }
        self.apply_early_cancel(now, id);
    }

    /// Drops the orphan of a job whose starts need tickets, if its workers refuse the orders of former schedulers. Later
    /// incarnations of them refuse the tickets.
    fn drop_refused_orphan(&mut self, id: JobId, job: &Job) {
        let needs_tickets = self.policy(job).approval.is_some();
        let orphan = self.announced.orphans.get(&id);
        if needs_tickets && orphan.is_some_and(|orphan| orphan.unheard.is_empty()) {
            self.announced.orphans.remove(&id);
            self.forgotten.push(id);
        }
    }

    /// Adds a job without progress. If progress of an earlier job with the same id is about to be deleted, it is replaced
    /// instead, so that the deletion cannot remove the progress of this job.
    fn add_new_job(&mut self, now: Now, id: JobId, job: Job) {
        let progress = Progress::new(&job);
        let count = self.forgotten.len();
        self.forgotten.retain(|&other| other != id);
        let replaces = self.forgotten.len() < count;
        if replaces {
            self.journal.mark_changed(id);
        }
        self.add_job(now, id, job, progress);
    }

    /// Adds a job with the progress that a former scheduler has stored while the job was announced to it. The former
    /// scheduler may have sent the orders of its runs.
    fn adopt(&mut self, now: Now, id: JobId, job: Job, progress: Progress) {
        let runs: Vec<_> = progress
            .assigned(id)
            .map(|(key, run, incarnation)| (key, run, incarnation.clone()))
            .collect();
        let lapsed: Vec<_> = progress
            .lapsed_runs(id)
            .map(|(key, run, incarnation)| (key, run, incarnation.clone()))
            .collect();
        self.add_job(now, id, job, progress);
        for (key, run, incarnation) in runs {
            self.recover_run(now, key, run, &incarnation);
            // A worker without runs is polled seldom.
            let worker = self.fleet.id(&incarnation.worker);
            self.actions.extend(worker.map(Action::Wake));
        }
        for (key, run, incarnation) in lapsed {
            self.recover_lapse(now, key, run, &incarnation);
        }
    }

    /// Releases the held effects of an announced job, whose row is known to be stored.
    fn confirm(&mut self, now: Now, id: JobId) {
        let Some(announcement) = self.announced.jobs.remove(&id) else {
            return;
        };
        self.announced.confirmed += 1;
        self.early_cancels.remove(&id);
        for effect in announcement.held {
            self.release(now.time, effect);
        }
    }

    /// Removes all that was decided for an announced job, so that none of its orders is sent once its row is stored.
    pub(crate) fn restart_announcement(&mut self, now: Now, id: JobId) {
        let announcement = self.announced.jobs.get(&id);
        let job = self.jobs.get(&id).map(|entry| entry.job.clone());
        let (Some(announcement), Some(job)) = (announcement, job) else {
            return;
        };
        let restarted = Announcement {
            held: Vec::new(),
            ..*announcement
        };
        self.withdraw_announcement(now.time, id);
        self.announced.jobs.insert(id, restarted);
        self.add_new_job(now, id, Job::clone(&job));
    }

    /// Removes an announced job and all that was decided for it. None of its orders was sent.
    fn withdraw_announcement(&mut self, now: Time, id: JobId) {
        if self.announced.jobs.remove(&id).is_none() {
            return;
        }
        self.announced.withdrawn += 1;
        let Some(entry) = self.jobs.remove(&id) else {
            return;
        };
        for (key, _, incarnation) in entry.progress.assigned(id) {
            if let Some(worker) = self.fleet.id(&incarnation.worker) {
                self.fleet.get_mut(worker).remove_run(now, &key);
            }
        }
        self.journal.discard_effects(|effect| effect.job() == id);
        self.waiting.retain(|key| key.job != id);
        self.scheduled.retain(|&(_, other)| other != id);
        self.ended_jobs.retain(|&(_, other)| other != id);
        self.approvals.retain(|key, _| key.job != id);
        self.awaiting_workers.retain(|key, _| key.job != id);
        // Without a change since, no batch has contained the job.
        if entry.progress != Progress::new(&entry.job) {
            self.forgotten.push(id);
        }
        self.needs_pass = true;
    }

    /// Withdraws the announcements that were not confirmed in time, and deletes the orphans that were kept for long
    /// enough.
    pub(crate) fn expire_announcements(&mut self, now: Time) {
        if self.announced.next_expiry().is_none_or(|at| now < at) {
            return;
        }
        let expired = |(&id, announcement): (&JobId, &Announcement)| {
            (announcement.until <= now).then_some(id)
        };
        let ids: Vec<JobId> = self.announced.jobs.iter().filter_map(expired).collect();
        for id in ids {
            self.withdraw_announcement(now, id);
        }
        self.delete_orphans(|orphan| orphan.until <= now);
    }

    /// Handles progress that a new scheduler has found without a job. It is deleted at once unless a former scheduler may
    /// still order its runs.
    pub(crate) fn add_orphan(&mut self, now: Now, id: JobId, progress: Progress) {
        let assigned = progress.assigned(id);
        let unheard: BTreeSet<Arc<str>> = assigned
            .map(|(_, _, incarnation)| incarnation.worker.clone())
            .collect();
        // Progress with an outcome remains when only the rows of an ended job were deleted.
        if progress.outcome().is_some() || unheard.is_empty() {
            self.forgotten.push(id);
            return;
        }
        let orphan = Orphan {
            progress,
            unheard,
            until: now.time + self.cfg.renew_without_table + self.cfg.longest_lapse(),
        };
        self.announced.orphans.insert(id, orphan);
    }

    /// Drops approvals of unknown jobs whose tickets have lapsed. They arrive for jobs that are never stored.
    pub(crate) fn drop_stale_approvals(&mut self, now: Time) {
        let jobs = &self.jobs;
        self.approvals
            .retain(|key, approvals| jobs.contains_key(&key.job) || approvals.has_tickets(now));
    }

    /// Returns whether a worker lists a run of an orphan, running or ended. Its order was sent by a former scheduler that
    /// knew the job to be stored, so the job's row will appear.
    pub(crate) fn lists_orphans(&self, listing: &Listing) -> bool {
        let orphans = &self.announced.orphans;
        let running = listing.running.iter().map(|row| row.key.job);
        let ended = listing.ended.iter().map(|row| row.end.key.job);
        !orphans.is_empty() && running.chain(ended).any(|id| orphans.contains_key(&id))
    }

    /// Records that a worker refuses the orders of former schedulers and has no runs of orphans.
    pub(crate) fn heard_without_orphans(&mut self, now: Time, id: WorkerId) {
        if self.announced.orphans.is_empty() {
            return;
        }
        let name = &self.fleet.get(id).info.name;
        for orphan in self.announced.orphans.values_mut() {
            orphan.unheard.remove(name);
        }
        // A later incarnation of a worker would not refuse the orders. So the job continues from the orphan if its row appears
        // while they may still be sent.
        let is_over = (self.past_leases.granted_until()).is_none_or(|until| until <= now);
        self.delete_orphans(|orphan| is_over && orphan.unheard.is_empty());
    }

    fn delete_orphans(&mut self, is_due: impl Fn(&Orphan) -> bool) {
        let forgotten = &mut self.forgotten;
        self.announced.orphans.retain(|&id, orphan| {
            let is_due = is_due(orphan);
            if is_due {
                forgotten.push(id);
            }
            !is_due
        });
    }
}
