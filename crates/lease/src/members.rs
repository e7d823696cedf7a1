//! The other nodes of the domain, and the last claim or renewal of each that this node confirmed.

use std::{collections::BTreeMap, time::Duration};

use model::{Epoch, Incarnation, NodeId, Time};

use crate::Holder;

/// The last claim or renewal of a member that this node has confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Confirmation {
    at: Time,
    epoch: Epoch,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Member {
    address: String,
    incarnation: Incarnation,
    last_confirmation: Option<Confirmation>,
    /// Whether the member has handed over the lease. Such a member does not claim it again.
    is_leaving: bool,
}

/// The other nodes of the domain.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Members {
    me: NodeId,
    is_initialized: bool,
    by_node: BTreeMap<NodeId, Member>,
}

impl Members {
    pub(crate) const fn new(me: NodeId) -> Self {
        Self {
            me,
            is_initialized: false,
            by_node: BTreeMap::new(),
        }
    }

    /// Whether a list of members has been set.
    pub(crate) const fn is_initialized(&self) -> bool {
        self.is_initialized
    }

    /// Replaces the list of members. A member that is not in the new list is kept for `wait` after its
    /// last confirmation, because the lease that was confirmed may still be valid.
    pub(crate) fn set(&mut self, list: Vec<Holder>, now: Time, wait: Duration) {
        self.is_initialized = true;
        let listed: Vec<NodeId> = list.iter().map(|holder| holder.node).collect();
        self.by_node.retain(|node, member| {
            listed.contains(node)
                || member
                    .last_confirmation
                    .is_some_and(|c| now.since(c.at) <= wait)
        });
        for holder in list {
            self.update(&holder);
        }
    }

    /// Adds or updates a member. Returns `false` if a later incarnation of the node is known, or if
    /// the node is this one.
    pub(crate) fn update(&mut self, holder: &Holder) -> bool {
        if holder.node == self.me {
            return false;
        }
        let member = self.by_node.entry(holder.node).or_insert_with(|| Member {
            address: holder.address.clone(),
            incarnation: holder.incarnation,
            last_confirmation: None,
            is_leaving: false,
        });
        if holder.incarnation < member.incarnation {
            return false;
        }
        if holder.incarnation > member.incarnation {
            member.incarnation = holder.incarnation;
            member.is_leaving = false;
        }
        member.address.clone_from(&holder.address);
        true
    }

    pub(crate) fn record_confirmation(&mut self, now: Time, node: NodeId, epoch: Epoch) {
        if let Some(member) = self.by_node.get_mut(&node) {
            member.is_leaving = false;
            member.last_confirmation = Some(Confirmation { at: now, epoch });
        }
    }

    /// Clears the confirmations of this epoch and earlier ones.
    pub(crate) fn clear_confirmations(&mut self, epoch: Epoch) {
        for member in self.by_node.values_mut() {
            member.last_confirmation = member.last_confirmation.filter(|c| c.epoch > epoch);
        }
    }

    pub(crate) fn set_leaving(&mut self, node: NodeId) {
        if let Some(member) = self.by_node.get_mut(&node) {
            member.is_leaving = true;
        }
    }

    pub(crate) fn confirmed_at(&self, node: NodeId) -> Option<Time> {
        let confirmation = self.by_node.get(&node)?.last_confirmation?;
        Some(confirmation.at)
    }

    /// The number of members that take precedence over this node when the lease is free.
    pub(crate) fn rank(&self) -> u32 {
        let before = self.by_node.range(..self.me);
        let n = before.filter(|(_, member)| !member.is_leaving).count();
        u32::try_from(n).unwrap_or(u32::MAX)
    }

    pub(crate) fn addresses(&self) -> impl Iterator<Item = (NodeId, &str)> {
        self.by_node
            .iter()
            .map(|(node, member)| (*node, member.address.as_str()))
    }
}
