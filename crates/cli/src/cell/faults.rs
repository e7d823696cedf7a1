//! Carries out scheduled faults.

use std::time::Duration;

use model::{DomainId, Time, WorkerId};

use super::{
    Cell, Fault, Happening,
    records::{Disturbance, Leaving},
};

/// A worker's VM that restarts is back after this time, which is longer than a start command is
/// good for.
const WORKER_BACK_AFTER: Duration = Duration::from_secs(8);

impl Cell {
    pub(crate) fn inject(&mut self, fault: &Fault) {
        self.log.add(self.now, format!("FAULT {fault}"));
        let now = self.now;
        match *fault {
            Fault::Crash(node) => self.crash(node, true),
            Fault::Kill(node) => self.crash(node, false),
            Fault::Pause(node, span) => self.pause(node, span),
            Fault::Shutdown(node) => {
                let start = self.start_of(node);
                self.event(node, start, node::Event::Shutdown);
            }
            Fault::WorkerDies(worker) => self.worker_dies(worker),
            Fault::WorkerRestarts(worker) => self.worker_restarts(worker),
            Fault::WorkerBack(worker) => {
                if let Some(fake) = self.platform.worker_mut(worker) {
                    fake.restart();
                }
            }
            Fault::WorkerPauses(worker, span) => {
                if let Some(fake) = self.platform.worker_mut(worker) {
                    fake.pause(now + span);
                }
            }
            Fault::WorkerFailsAll(worker) => {
                if let Some(fake) = self.platform.worker_mut(worker) {
                    fake.set_always_fails(true);
                }
            }
            Fault::WorkerLeaves(worker) => self.worker_leaves(worker),
            Fault::RackDies(rack) => {
                for worker in self.platform.worker_ids() {
                    let place = self.platform.vm_list.place_of(worker);
                    if place.is_some_and(|(_, other)| other == rack) {
                        self.worker_dies(worker);
                    }
                }
            }
            Fault::CutFromPlatform(domain, span) => {
                self.links.cut_from_platform(domain, now + span);
                self.disturb(Some(domain), span);
            }
            Fault::CutFromPeers(domain, span) => {
                self.links.cut_from_peers(domain, now + span);
            }
            Fault::CutBetween(a, b, span) => self.links.cut_between(a, b, now + span),
            Fault::TableDown(span) => {
                self.links.table_down(now + span);
                self.disturb(None, span);
            }
            Fault::TableSlow(span) => self.links.table_slow(now + span),
            Fault::TableRepliesLost(span) => {
                self.links.lose_replies(now + span);
                self.disturb(None, span);
            }
            Fault::LinkSilent(a, b) => self.links.silence(now, a, b),
            Fault::BackendSilent(worker, span) => self.traffic.silence(worker, now + span),
        }
    }

    fn worker_dies(&mut self, worker: WorkerId) {
        let now = self.now;
        self.platform.vm_list.set_gone(now, worker);
        self.traffic.worker_died(worker);
        if let Some(fake) = self.platform.worker_mut(worker) {
            fake.die(now);
        }
    }

    fn worker_restarts(&mut self, worker: WorkerId) {
        let now = self.now;
        self.traffic.worker_died(worker);
        if let Some(fake) = self.platform.worker_mut(worker) {
            fake.die(now);
        }
        let back = Happening::Fault(Fault::WorkerBack(worker));
        self.queue.push(now + WORKER_BACK_AFTER, back);
    }

    fn worker_leaves(&mut self, worker: WorkerId) {
        self.platform.vm_list.set_leaving(self.now, worker);
        let listed = self.now + self.platform.vm_list.lag();
        if let Some((domain, _)) = self.platform.vm_list.place_of(worker) {
            self.records.leaving.push(Leaving {
                worker,
                domain,
                listed_at: listed,
            });
        }
    }

    fn disturb(&mut self, domain: Option<DomainId>, span: Duration) {
        let until: Time = self.now + span;
        self.records.disturbances.push(Disturbance {
            node: None,
            domain,
            from: self.now,
            until,
        });
    }
}
