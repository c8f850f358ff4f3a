//! Runs stand-in targets, each on its own loopback port, and prints one JSON line per target.

use bpaf::Bpaf;
use heatherhinge_standin_target::{RouteTime, ServiceTime, Target, TargetConfig};
use heatherhinge_types::Name;
use serde_json::json;
use std::net::{IpAddr, SocketAddr};
use tokio::signal::unix::{SignalKind, signal};

/// Runs stand-in targets whose faults are set by POST of JSON to /admin/faults.
///
/// Prints one JSON line with service, zone, version and address for each target once it listens,
/// and runs until SIGINT or SIGTERM.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Loopback address to listen on
    #[bpaf(argument("IP"), fallback(IpAddr::from([127, 0, 0, 1])), display_fallback)]
    ip: IpAddr,
    /// First port; each further target uses the next one. 0 picks free ports
    #[bpaf(argument("PORT"), fallback(0), display_fallback)]
    port: u16,
    /// Number of targets
    #[bpaf(argument("COUNT"), fallback(1), display_fallback)]
    targets: u16,
    /// Name of the service
    #[bpaf(argument("NAME"), fallback("orders".to_owned()), display_fallback)]
    service: String,
    /// Availability zone; several zones are assigned to the targets in turn
    #[bpaf(argument("NAME"))]
    zone: Vec<String>,
    /// Version that the targets report
    #[bpaf(argument("NAME"), fallback("v1".to_owned()), display_fallback)]
    version: String,
    /// Requests that one target runs concurrently
    #[bpaf(argument("COUNT"), fallback(5), display_fallback)]
    slots: u32,
    /// Requests that one target queues; more are shed
    #[bpaf(argument("COUNT"), fallback(5), display_fallback)]
    queue: u32,
    /// Time from a start until a target is warm, in milliseconds; 0 starts warm
    #[bpaf(argument("MS"), fallback(0), display_fallback)]
    warm_ms: u64,
    /// Seed of the service times
    #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
    seed: u64,
    /// Service time as FLOOR_US+MEAN_US: a fixed part and the mean of an exponential part
    #[bpaf(argument("US+US"), fallback(ServiceTime { floor_us: 1_000, mean_extra_us: 1_000 }))]
    service_time: ServiceTime,
    /// Service time of a path prefix as PREFIX=FLOOR_US+MEAN_US; may be repeated
    #[bpaf(argument::<String>("PREFIX=US+US"), parse(parse_route), many)]
    route_time: Vec<RouteTime>,
}

fn parse_route(text: String) -> Result<RouteTime, String> {
    let (prefix, time) = text
        .split_once('=')
        .ok_or_else(|| format!("{text:?} does not have the form PREFIX=FLOOR_US+MEAN_US"))?;
    Ok(RouteTime {
        prefix: prefix.to_owned(),
        service_time: time.parse()?,
    })
}

impl Options {
    fn target(&self, index: u16) -> TargetConfig {
        let zone = match self.zone.len() {
            0 => "zone-1",
            count => &self.zone[usize::from(index) % count],
        };
        let port = match self.port {
            0 => 0,
            first => first.saturating_add(index),
        };
        TargetConfig {
            addr: SocketAddr::new(self.ip, port),
            service: Name::new(&self.service),
            zone: Name::new(zone),
            version: Name::new(&self.version),
            slots: self.slots,
            queue_len: self.queue,
            warm_ms: self.warm_ms,
            seed: self.seed.wrapping_add(u64::from(index)),
            service_time: self.service_time,
            routes: self.route_time.clone(),
        }
    }
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let options = options().run();
    if !options.ip.is_loopback() {
        eyre::bail!(
            "standin-target: cannot listen on {}: not a loopback address",
            options.ip
        );
    }
    let mut targets = Vec::new();
    for index in 0..options.targets {
        let target = Target::bind(options.target(index)).await?;
        let config = target.config();
        println!(
            "{}",
            json!({
                "service": config.service, "zone": config.zone,
                "version": config.version, "addr": target.addr(),
            })
        );
        targets.push(target);
    }
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = tokio::signal::ctrl_c() => {}
        _ = terminate.recv() => {}
    }
    Ok(())
}
