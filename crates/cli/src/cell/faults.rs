//! The injection of faults into a cell.

use std::time::Duration;

use model::{DomainId, Time, WorkerId};

use super::{
    Cell, Fault, SimEvent,
    records::{Disturbance, Leaving},
};

/// The time from the failure of a worker's VM to its return in [`Fault::WorkerRestarts`]. It is longer than the
/// validity of a start command.
const WORKER_RESTART_DELAY: Duration = Duration::from_secs(8);

impl Cell {
    /// Injects a fault and logs it.
    pub(crate) fn inject(&mut self, fault: &Fault) {
        self.log.add(self.now, format!("FAULT {fault}"));
        let now = self.now;
        match *fault {
            Fault::Crash(node) => self.crash(node, true),
            Fault::Kill(node) => self.crash(node, false),
            Fault::Pause(node, span) => self.pause(node, span),
            Fault::Shutdown(node) => {
                let start = self.current_start(node);
                self.deliver_event(node, start, node::Event::Shutdown);
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
                    let location = self.platform.vm_list.place_of(worker);
                    if location.is_some_and(|(_, other)| other == rack) {
                        self.worker_dies(worker);
                    }
                }
            }
            Fault::CutFromPlatform(domain, span) => {
                self.links.cut_from_platform(domain, now + span);
                self.record_domain_disturbance(Some(domain), span);
            }
            Fault::CutFromPeers(domain, span) => {
                self.links.cut_from_peers(domain, now + span);
            }
            Fault::CutBetween(a, b, span) => self.links.cut_between(a, b, now + span),
            Fault::TableDown(span) => {
                self.links.set_table_down(now + span);
                self.record_domain_disturbance(None, span);
            }
            Fault::TableSlow(span) => self.links.set_table_slow(now + span),
            Fault::TableRepliesLost(span) => {
                self.links.set_replies_lost(now + span);
                self.record_domain_disturbance(None, span);
            }
            Fault::LinkSilent(a, b) => self.links.set_silent(now, a, b),
            Fault::BackendSilent(worker, span) => self.traffic.set_silent(worker, now + span),
        }
    }

    fn worker_dies(&mut self, worker: WorkerId) {
        let now = self.now;
        self.platform.vm_list.set_gone(now, worker);
        self.traffic.record_worker_death(worker);
        if let Some(fake) = self.platform.worker_mut(worker) {
            fake.die(now);
        }
    }

    fn worker_restarts(&mut self, worker: WorkerId) {
        let now = self.now;
        self.traffic.record_worker_death(worker);
        if let Some(fake) = self.platform.worker_mut(worker) {
            fake.die(now);
        }
        let back = SimEvent::Fault(Fault::WorkerBack(worker));
        self.queue.push(now + WORKER_RESTART_DELAY, back);
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

    fn record_domain_disturbance(&mut self, domain: Option<DomainId>, span: Duration) {
        let until: Time = self.now + span;
        self.records.disturbances.push(Disturbance {
            node: None,
            domain,
            from: self.now,
            until,
        });
    }
}
