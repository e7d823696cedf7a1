//! Tasks that crash the hosts that start them.

use std::{collections::HashMap, time::Duration};

use jobs::{StepKey, TaskKey};

/// A step with tasks that crash each host that starts them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashingStep {
    /// The step.
    pub step: StepKey,
    /// The index of the only task that does; `None` if all tasks of the step do.
    pub index: Option<u32>,
    /// The time from the start of a run until its host crashes. If it is zero, the start is not answered.
    pub after: Duration,
    /// How long the host is down.
    pub down: Duration,
}

/// The steps with tasks that crash their hosts.
#[derive(Debug, Default)]
pub(super) struct CrashingSteps(HashMap<StepKey, CrashingStep>);

impl CrashingSteps {
    pub(super) fn add(&mut self, step: CrashingStep) {
        self.0.insert(step.step, step);
    }

    /// Returns the step of a task that crashes its hosts.
    pub(super) fn of(&self, key: TaskKey) -> Option<CrashingStep> {
        let step = self.0.get(&key.step_key()).copied();
        step.filter(|step| step.index.is_none_or(|index| index == key.index))
    }
}
