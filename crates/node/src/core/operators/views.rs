//! What operators are told of recalls and of the versions that nodes have in force.

use std::collections::BTreeMap;

use config::Config;
use model::{NodeId, Time};
use store::{Row, decode};

use super::super::{
    config_sync::ConfigSync, members::MemberRow, rows::last_part, settings::Identity,
};
use crate::api::{MemberVersion, RecallView};

/// The recalls in force.
pub(super) fn recalls(config: &Config) -> Vec<RecallView> {
    let recalls = config.recalls().iter();
    recalls
        .map(|(target, recall)| RecallView {
            target: target.clone(),
            author: recall.author.clone(),
            version: recall.version,
        })
        .collect()
}

/// Which nodes have a version in force: this one, those that were heard, and those that the table
/// names as members but that were never heard.
pub(super) fn in_force(
    now: Time,
    me: &Identity,
    config: &ConfigSync,
    version: u64,
    rows: &[Row],
) -> Vec<MemberVersion> {
    let mut members: BTreeMap<NodeId, MemberVersion> = rows
        .iter()
        .filter_map(member_of_row)
        .map(|member| (member.node, member))
        .collect();
    for member in config.members(now, version) {
        members.insert(member.node, member);
    }
    let own = config.config().version();
    let own = MemberVersion {
        node: me.node,
        domain: me.domain,
        version: Some(own),
        age_ms: Some(0),
        in_force: own >= version,
    };
    members.insert(me.node, own);
    members.into_values().collect()
}

fn member_of_row(row: &Row) -> Option<MemberVersion> {
    let node = last_part(&row.key).parse().ok()?;
    let member: MemberRow = decode(&row.value).ok()?;
    Some(MemberVersion {
        node,
        domain: member.domain,
        version: None,
        age_ms: None,
        in_force: false,
    })
}
