//! The ports: one small trait for each part of the platform.
//!
//! Calls block; the daemon makes them on a bounded pool of threads.

use model::DomainId;

use crate::{
    ObjectReq, ObjectResp, StoreError, TableReq, TableResp, VmInfo, WorkerCall, WorkerReport,
};

/// The platform's transactional table.
pub trait Table {
    /// Makes one call.
    ///
    /// # Errors
    ///
    /// No answer came; the error says whether the call may have been done.
    fn table(&mut self, req: &TableReq) -> Result<TableResp, StoreError>;
}

/// The platform's object store.
pub trait Objects {
    /// Makes one call.
    ///
    /// # Errors
    ///
    /// No answer came; the error says whether the call may have been done.
    fn object(&mut self, req: &ObjectReq) -> Result<ObjectResp, StoreError>;
}

/// The platform's list of VMs.
pub trait VmList {
    /// Reads a domain's part of the list, which lags behind the truth.
    ///
    /// # Errors
    ///
    /// No answer came.
    fn vms(&mut self, domain: DomainId) -> Result<Vec<VmInfo>, StoreError>;
}

/// The platform's workers.
pub trait Workers {
    /// Makes one call to one worker.
    ///
    /// # Errors
    ///
    /// No answer came; the error says whether commands may have been done.
    fn worker(&mut self, call: &WorkerCall) -> Result<WorkerReport, StoreError>;
}

/// The whole platform.
pub trait Platform: Table + Objects + VmList + Workers {}

impl<T: Table + Objects + VmList + Workers> Platform for T {}
