//! The actors and threads that join a node's decisions to the world.

mod actor;
mod fixed;
mod http;
mod links;
mod metrics;
mod platform;
mod proxy;

use std::{
    io, process, thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use model::Incarnation;
use peer::{Links, LinksConfig};
use stakker::{Stakker, actor, call, fwd_to, ret_shutdown, sync::Channel};
use store::HttpPlatformConfig;

pub use self::fixed::{FixedProxy, FixedService};
use self::{
    actor::NodeActor, http::Faces, links::Inbox, metrics::Metrics, platform::Pool, proxy::Proxy,
};
use crate::{Identity, NodeConfig, settings::Settings};

/// The longest sleep of the main thread.
const SLEEP_MAX: Duration = Duration::from_secs(1);

/// Runs a node until it is told to stop.
///
/// # Errors
///
/// An address cannot be listened on.
pub fn run(settings: &Settings) -> io::Result<()> {
    let mut stakker = Stakker::new(Instant::now());
    let main = thread::current();
    stakker.set_poll_waker(move || main.unpark());

    let me = Identity {
        node: settings.node,
        incarnation: incarnation(),
        region: settings.region,
        domain: settings.domain,
        peer_address: settings.peer_listen.to_string(),
    };
    let node = actor!(
        &mut stakker,
        NodeActor::init(NodeConfig::default(), me),
        ret_shutdown!(&mut stakker)
    );
    let fwd = fwd_to!([node], receive() as (actor::Incoming));
    let (channel, guard) = Channel::new(&mut stakker, fwd);
    let platform = HttpPlatformConfig {
        url: settings.platform.clone(),
        ..HttpPlatformConfig::default()
    };
    let pool = Pool::start(platform, settings.domain, &channel);
    let links_config = LinksConfig {
        node: settings.node,
        token: settings.peer_token.clone(),
        ..LinksConfig::default()
    };
    let proxy = Proxy::new(channel.clone());
    let inbox = Inbox::new(&channel, &proxy);
    let links = Links::start(links_config, settings.peer_listen, inbox)?;
    let faces = Faces::start(settings, &channel, &proxy)?;
    watch_signals(&channel)?;
    log::info!("node: {} listens on {}", settings.node, faces.address());
    let metrics = match settings.metrics {
        Some(to) => Some(Metrics::new(to, &settings.node.to_string())?),
        None => None,
    };
    call!([node], connect(pool, links, proxy, metrics, guard));
    run_actors(&mut stakker);
    log::info!("node: stopped");
    Ok(())
}

/// Runs the actors on this thread until they shut down. Other threads wake it by unparking it.
fn run_actors(stakker: &mut Stakker) {
    let mut pending = stakker.run(Instant::now(), false);
    while stakker.not_shutdown() {
        let wait = stakker.next_wait_max(Instant::now(), SLEEP_MAX, pending);
        thread::park_timeout(wait);
        stakker.poll_wake();
        pending = stakker.run(Instant::now(), false);
    }
}

/// Later starts draw greater numbers, unless the VM's clock is set back between them. The number only
/// tells a node's starts apart; nothing waits for a time because of it.
fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let ms = since.map_or(0, |since| since.as_millis());
    let low = u64::from(process::id() & 0xffff);
    Incarnation((u64::try_from(ms).unwrap_or(0) << 16) | low)
}

fn watch_signals(channel: &Channel<actor::Incoming>) -> io::Result<()> {
    use signal_hook::consts::{SIGINT, SIGTERM};
    let mut signals = signal_hook::iterator::Signals::new([SIGINT, SIGTERM])?;
    let channel = channel.clone();
    thread::spawn(move || {
        for _ in signals.forever() {
            if !channel.send(actor::Incoming::Event(crate::Event::Shutdown)) {
                return;
            }
        }
    });
    Ok(())
}
