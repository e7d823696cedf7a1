//! The actor and the threads that connect a node's state machine to the network and the platform.

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
    actor::NodeActor, http::HttpServer, links::Inbox, metrics::Metrics, platform::Pool,
    proxy::Proxy,
};
use crate::{Identity, NodeConfig, settings::Settings};

/// The longest time for which the main thread sleeps.
const SLEEP_MAX: Duration = Duration::from_secs(1);

/// Runs a node until it receives a signal or an operator's request to stop.
///
/// # Errors
///
/// Returns an error if an address cannot be listened on or a socket or thread cannot be set up.
pub fn run(settings: &Settings) -> io::Result<()> {
    let mut stakker = Stakker::new(Instant::now());
    let main = thread::current();
    stakker.set_poll_waker(move || main.unpark());

    let identity = Identity {
        node: settings.node,
        incarnation: incarnation(),
        region: settings.region,
        domain: settings.domain,
        peer_address: settings.peer_listen.to_string(),
    };
    let node = actor!(
        &mut stakker,
        NodeActor::init(NodeConfig::default(), identity),
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
    let server = HttpServer::start(settings, &channel, &proxy)?;
    watch_signals(&channel)?;
    log::info!("node: {} listens on {}", settings.node, server.address());
    let metrics = match settings.metrics {
        Some(to) => Some(Metrics::new(to, &settings.node.to_string())?),
        None => None,
    };
    call!([node], connect(pool, links, proxy, metrics, guard));
    run_actors(&mut stakker);
    log::info!("node: stopped");
    Ok(())
}

/// Runs the actors on this thread until they shut down. Other threads unpark this thread when they have
/// sent something to an actor.
fn run_actors(stakker: &mut Stakker) {
    let mut pending = stakker.run(Instant::now(), false);
    while stakker.not_shutdown() {
        let wait = stakker.next_wait_max(Instant::now(), SLEEP_MAX, pending);
        thread::park_timeout(wait);
        stakker.poll_wake();
        pending = stakker.run(Instant::now(), false);
    }
}

/// Returns the incarnation of this process: the wall-clock time in milliseconds, with the low 16 bits of
/// the process id appended.
///
/// Later incarnations get greater numbers unless the VM's clock is set back in between. The number only
/// distinguishes the incarnations of a node; no timeout depends on it.
fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let ms = since.map_or(0, |since| since.as_millis());
    let low_bits = u64::from(process::id() & 0xffff);
    Incarnation((u64::try_from(ms).unwrap_or(0) << 16) | low_bits)
}

/// Starts a thread that sends the node a shutdown event on SIGINT or SIGTERM.
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
