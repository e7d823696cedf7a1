//! A stand-in for the platform's list of VMs, which shows each change only after a lag.

use std::time::Duration;

use model::{DomainId, RackId, Time, WorkerId};
use store::{VmInfo, VmRole, VmState};

#[derive(Clone, Debug)]
struct Vm {
    info: VmInfo,
    leaving_since: Option<Time>,
    gone_since: Option<Time>,
}

/// A list of VMs in memory.
#[derive(Clone, Debug)]
pub struct FakeVmList {
    lag: Duration,
    vms: Vec<Vm>,
}

impl FakeVmList {
    pub(crate) const fn new(lag: Duration) -> Self {
        let vms = Vec::new();
        Self { lag, vms }
    }

    pub(crate) fn add(&mut self, info: VmInfo) {
        self.vms.push(Vm {
            info,
            leaving_since: None,
            gone_since: None,
        });
    }

    /// Returns how long the list takes to show a change.
    #[must_use]
    pub const fn lag(&self) -> Duration {
        self.lag
    }

    /// Returns the VMs of a failure domain as the list shows them at `now`.
    #[must_use]
    pub fn shown(&self, now: Time, domain: DomainId) -> Vec<VmInfo> {
        let is_shown = |since: Option<Time>| since.is_some_and(|since| now >= since + self.lag);
        let in_domain = self.vms.iter().filter(|vm| vm.info.domain == domain);
        in_domain
            .filter(|vm| !is_shown(vm.gone_since))
            .map(|vm| {
                let mut info = vm.info.clone();
                if is_shown(vm.leaving_since) {
                    info.state = VmState::Leaving;
                }
                info
            })
            .collect()
    }

    /// Marks a worker's VM as leaving from `now` on.
    pub fn set_leaving(&mut self, now: Time, worker: WorkerId) {
        if let Some(vm) = self.find_mut(worker) {
            vm.leaving_since.get_or_insert(now);
        }
    }

    /// Removes a worker's VM from the list from `now` on.
    pub fn set_gone(&mut self, now: Time, worker: WorkerId) {
        if let Some(vm) = self.find_mut(worker) {
            vm.gone_since.get_or_insert(now);
        }
    }

    /// Returns the failure domain and the rack of a worker's VM, also of one that has been removed.
    #[must_use]
    pub fn place_of(&self, worker: WorkerId) -> Option<(DomainId, RackId)> {
        self.vms.iter().find_map(|vm| match vm.info.role {
            VmRole::Worker {
                worker: id, rack, ..
            } if id == worker => Some((vm.info.domain, rack)),
            _ => None,
        })
    }

    fn find_mut(&mut self, id: WorkerId) -> Option<&mut Vm> {
        let mut vms = self.vms.iter_mut();
        vms.find(|vm| matches!(vm.info.role, VmRole::Worker { worker, .. } if worker == id))
    }
}
