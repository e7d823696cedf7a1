//! The list of VMs, which shows each change only after a lag.

use std::time::Duration;

use model::{DomainId, RackId, Time, WorkerId};
use store::{VmInfo, VmRole, VmState};

#[derive(Clone, Debug)]
struct Vm {
    info: VmInfo,
    leaves: Option<Time>,
    gone: Option<Time>,
}

/// The platform's list of VMs.
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
            leaves: None,
            gone: None,
        });
    }

    /// How long the list takes to show a change.
    #[must_use]
    pub const fn lag(&self) -> Duration {
        self.lag
    }

    /// A domain's part of the list as it is shown now.
    #[must_use]
    pub fn shown(&self, now: Time, domain: DomainId) -> Vec<VmInfo> {
        let is_shown = |since: Option<Time>| since.is_some_and(|since| now >= since + self.lag);
        let here = self.vms.iter().filter(|vm| vm.info.domain == domain);
        here.filter(|vm| !is_shown(vm.gone))
            .map(|vm| {
                let mut info = vm.info.clone();
                if is_shown(vm.leaves) {
                    info.state = VmState::Leaving;
                }
                info
            })
            .collect()
    }

    /// Marks a worker's VM as leaving.
    pub fn set_leaving(&mut self, now: Time, worker: WorkerId) {
        if let Some(vm) = self.find(worker) {
            vm.leaves.get_or_insert(now);
        }
    }

    /// Takes a worker's VM off the list.
    pub fn set_gone(&mut self, now: Time, worker: WorkerId) {
        if let Some(vm) = self.find(worker) {
            vm.gone.get_or_insert(now);
        }
    }

    /// The domain and rack of a worker.
    #[must_use]
    pub fn place_of(&self, worker: WorkerId) -> Option<(DomainId, RackId)> {
        self.vms.iter().find_map(|vm| match vm.info.role {
            VmRole::Worker {
                worker: id, rack, ..
            } if id == worker => Some((vm.info.domain, rack)),
            _ => None,
        })
    }

    fn find(&mut self, id: WorkerId) -> Option<&mut Vm> {
        let mut vms = self.vms.iter_mut();
        vms.find(|vm| matches!(vm.info.role, VmRole::Worker { worker, .. } if worker == id))
    }
}
