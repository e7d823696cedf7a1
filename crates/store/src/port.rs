//! The traits for the parts of the platform.
//!
//! All calls block. The daemon makes them on a bounded thread pool.

use model::DomainId;

use crate::{
    ObjectReq, ObjectResp, StoreError, TableReq, TableResp, VmInfo, WorkerCall, WorkerReport,
};

/// The platform's transactional table.
pub trait Table {
    /// Makes one call to the table.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response. [`StoreError::verdict`] says whether the call may have
    /// been executed.
    fn table(&mut self, req: &TableReq) -> Result<TableResp, StoreError>;
}

/// The platform's object store.
pub trait Objects {
    /// Makes one call to the object store.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response. [`StoreError::verdict`] says whether the call may have
    /// been executed.
    fn object(&mut self, req: &ObjectReq) -> Result<ObjectResp, StoreError>;
}

/// The platform's list of VMs.
pub trait VmList {
    /// Returns the VMs of a failure domain. The list lags behind the actual state. Invalid entries are left out.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response.
    fn vms(&mut self, domain: DomainId) -> Result<Vec<VmInfo>, StoreError>;
}

/// The platform's workers.
pub trait Workers {
    /// Makes one call to one worker.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response. [`StoreError::verdict`] says whether the commands may
    /// have been executed.
    fn worker(&mut self, call: &WorkerCall) -> Result<WorkerReport, StoreError>;
}

/// All parts of the platform.
pub trait Platform: Table + Objects + VmList + Workers {}

impl<T: Table + Objects + VmList + Workers> Platform for T {}
