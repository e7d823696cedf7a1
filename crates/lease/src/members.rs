//! The other nodes of the domain, and what each of them was last confirmed.

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
    confirmed: Option<Confirmation>,
    /// It has handed over: it does not claim the lease again.
    leaving: bool,
}

/// The other nodes of the domain.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Members {
    me: NodeId,
    known: bool,
    by_node: BTreeMap<NodeId, Member>,
}

impl Members {
    pub(crate) const fn new(me: NodeId) -> Self {
        Self {
            me,
            known: false,
            by_node: BTreeMap::new(),
        }
    }

    /// Whether the members were ever given.
    pub(crate) const fn are_known(&self) -> bool {
        self.known
    }

    /// Takes a new list. A member that is not in it stays while what it was confirmed less than `wait`
    /// ago may be in force.
    pub(crate) fn set(&mut self, list: Vec<Holder>, now: Time, wait: Duration) {
        self.known = true;
        let listed: Vec<NodeId> = list.iter().map(|holder| holder.node).collect();
        self.by_node.retain(|node, member| {
            listed.contains(node) || member.confirmed.is_some_and(|c| now.since(c.at) <= wait)
        });
        for holder in list {
            self.learn(&holder);
        }
    }

    /// Notes a member. Returns `false` for an earlier start of a node that has started again since.
    pub(crate) fn learn(&mut self, holder: &Holder) -> bool {
        if holder.node == self.me {
            return false;
        }
        let member = self.by_node.entry(holder.node).or_insert_with(|| Member {
            address: holder.address.clone(),
            incarnation: holder.incarnation,
            confirmed: None,
            leaving: false,
        });
        if holder.incarnation < member.incarnation {
            return false;
        }
        if holder.incarnation > member.incarnation {
            member.incarnation = holder.incarnation;
            member.leaving = false;
        }
        member.address.clone_from(&holder.address);
        true
    }

    pub(crate) fn confirm(&mut self, now: Time, node: NodeId, epoch: Epoch) {
        if let Some(member) = self.by_node.get_mut(&node) {
            member.leaving = false;
            member.confirmed = Some(Confirmation { at: now, epoch });
        }
    }

    /// What was confirmed up to this epoch is in force no longer.
    pub(crate) fn end(&mut self, epoch: Epoch) {
        for member in self.by_node.values_mut() {
            member.confirmed = member.confirmed.filter(|c| c.epoch > epoch);
        }
    }

    pub(crate) fn set_leaving(&mut self, node: NodeId) {
        if let Some(member) = self.by_node.get_mut(&node) {
            member.leaving = true;
        }
    }

    pub(crate) fn confirmed_at(&self, node: NodeId) -> Option<Time> {
        let confirmed = self.by_node.get(&node)?.confirmed?;
        Some(confirmed.at)
    }

    /// How many members go before this node when the lease is free.
    pub(crate) fn rank(&self) -> u32 {
        let before = self.by_node.range(..self.me);
        let n = before.filter(|(_, member)| !member.leaving).count();
        u32::try_from(n).unwrap_or(u32::MAX)
    }

    pub(crate) fn addresses(&self) -> impl Iterator<Item = (NodeId, &str)> {
        self.by_node
            .iter()
            .map(|(node, member)| (*node, member.address.as_str()))
    }
}
