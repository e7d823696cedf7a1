//! All workers, by name and by id.

use std::{collections::HashMap, sync::Arc};

use model::WorkerId;

use crate::{WorkerInfo, worker::Worker};

/// All workers ever seen. Ids are not reused, so each id stands for one name.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    by_name: HashMap<Arc<str>, WorkerId>,
    workers: Vec<Worker>,
}

impl Fleet {
    pub(crate) fn id(&self, name: &str) -> Option<WorkerId> {
        self.by_name.get(name).copied()
    }

    /// Returns the id of a worker. Adds the worker if its name is new.
    pub(crate) fn intern(&mut self, info: &WorkerInfo) -> WorkerId {
        if let Some(id) = self.id(&info.name) {
            return id;
        }
        let id = WorkerId(u32::try_from(self.workers.len()).unwrap_or(u32::MAX));
        self.by_name.insert(info.name.clone(), id);
        self.workers.push(Worker::new(id, info.clone()));
        id
    }

    pub(crate) fn get(&self, id: WorkerId) -> &Worker {
        &self.workers[index(id)]
    }

    pub(crate) fn get_mut(&mut self, id: WorkerId) -> &mut Worker {
        &mut self.workers[index(id)]
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.workers.iter()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Worker> {
        self.workers.iter_mut()
    }

    pub(crate) fn len(&self) -> usize {
        self.workers.len()
    }
}

pub(crate) fn index(id: WorkerId) -> usize {
    usize::try_from(id.0).unwrap_or(usize::MAX)
}
