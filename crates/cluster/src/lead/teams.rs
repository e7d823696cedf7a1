//! What the scheduler tells the other nodes about teams.

use jobs::{Job, JobId};
use tokio::sync::mpsc;

use super::Leader;
use crate::{
    Ports, configuration,
    message::{LEVEL, Message},
};

impl<P: Ports> Leader<P> {
    /// Records the team of a job, and prepares it for [`broadcast_new_owners`](Self::broadcast_new_owners).
    pub(super) fn record_owner(&self, id: JobId, job: &Job) {
        if self.node.has_teams() {
            self.node.record_job(id, job);
            let owner = self.node.owner_of(job);
            self.new_owners.borrow_mut().push((id, owner));
        }
    }

    /// Sends the teams of new jobs to the other nodes.
    pub(super) fn broadcast_new_owners(&self) {
        let owners = self.new_owners.take();
        if !owners.is_empty() {
            self.broadcast_to_current(&Message::Owners(owners));
        }
    }

    /// Sends the teams of all jobs to a newly linked node. Returns whether the message was sent or not needed.
    pub(super) fn send_owners(&self, tx: &mpsc::Sender<Message>) -> bool {
        let owners = self.node.0.team_jobs.owners();
        owners.is_empty() || tx.try_send(Message::Owners(owners)).is_ok()
    }

    /// Sends a question for the newest configuration to some of the linked nodes. Returns whether one was sent.
    pub(crate) fn ask_peers(&self, question: &Message, round: usize, count: usize) -> bool {
        let peers = self.peers.borrow();
        let current: Vec<_> = peers.values().filter(|peer| peer.level >= LEVEL).collect();
        configuration::rotated(&current, round, count)
            .filter(|peer| peer.tx.try_send(question.clone()).is_ok())
            .count()
            > 0
    }
}
