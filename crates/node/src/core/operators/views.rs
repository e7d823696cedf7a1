//! The answers to operators about recalls and the versions that nodes have in force.

use config::Config;
use model::Time;

use super::super::{config_sync::ConfigSync, members::Members, settings::Identity};
use crate::api::{MemberVersion, RecallView};

/// Returns the recalls in force.
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

/// Returns which nodes have a version in force: this node first, then the other known nodes.
pub(super) fn in_force(
    now: Time,
    me: &Identity,
    config: &ConfigSync,
    members: &Members,
    version: u64,
) -> Vec<MemberVersion> {
    let own = config.config().version();
    let mut views = vec![MemberVersion {
        node: me.node,
        domain: me.domain,
        version: Some(own),
        age_ms: Some(0),
        in_force: own >= version,
    }];
    for (node, (domain, has, age)) in members.config_versions(now) {
        views.push(MemberVersion {
            node,
            domain,
            version: age.map(|_| has),
            age_ms: age.and_then(|age| u64::try_from(age.as_millis()).ok()),
            in_force: age.is_some() && has >= version,
        });
    }
    views
}
