//! Fetches the addresses of entry hosts from the entry hosts and keeps them up to date;
//! `docs/design.md`, section 13.

use super::{Destination, HttpClient};
use heatherhinge_blackboard::{Reader, Writer, entry};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Shortest time between two fetches, whatever `keep_ms` the response has.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// Time until the next fetch if no host responded.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// The fields that the tool uses of the response to `GET /heatherhinge/v1/addresses`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct AddressResponse {
    /// Entry hosts in the order in which they should be tried.
    pub hosts: Vec<HostAddress>,
    /// Time for which the response may be used, in milliseconds.
    pub keep_ms: u64,
}

/// One entry host.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct HostAddress {
    /// Address that serves callers.
    pub addr: SocketAddr,
}

/// A list of entry hosts that a background task keeps up to date.
#[derive(Debug)]
pub struct AddressList {
    hosts: Reader<Vec<SocketAddr>>,
    refresh_task: JoinHandle<()>,
}

impl AddressList {
    /// Fetches the list from the first seed that responds and starts the task that refreshes it.
    ///
    /// # Errors
    ///
    /// Returns an error if no seed responds with at least one address.
    pub async fn spawn(
        client: HttpClient,
        seeds: Vec<SocketAddr>,
        zone: Option<String>,
    ) -> eyre::Result<Self> {
        let response = fetch_from_any(&client, &seeds, zone.as_deref())
            .await
            .ok_or_else(|| eyre::eyre!("load: no entry host returned addresses"))?;
        let (hosts, mut writer) = entry(Vec::new());
        let refresh_after = publish(&mut writer, &response);
        let refresh_task = tokio::spawn(refresh(client, seeds, zone, writer, refresh_after));
        Ok(Self {
            hosts,
            refresh_task,
        })
    }
}

impl Destination for AddressList {
    fn address(&self, number: u64) -> Option<SocketAddr> {
        let hosts = self.hosts.read();
        let count = u64::try_from(hosts.value.len()).unwrap_or(u64::MAX);
        let index = number.checked_rem(count)?;
        hosts
            .value
            .get(usize::try_from(index).unwrap_or(0))
            .copied()
    }
}

impl Drop for AddressList {
    fn drop(&mut self) {
        self.refresh_task.abort();
    }
}

fn publish(writer: &mut Writer<Vec<SocketAddr>>, response: &AddressResponse) -> Duration {
    writer.publish(response.hosts.iter().map(|host| host.addr).collect());
    Duration::from_millis(response.keep_ms).max(MIN_REFRESH_INTERVAL)
}

async fn refresh(
    client: HttpClient,
    seeds: Vec<SocketAddr>,
    zone: Option<String>,
    mut writer: Writer<Vec<SocketAddr>>,
    mut refresh_after: Duration,
) {
    loop {
        tokio::time::sleep(refresh_after).await;
        // Hosts of the last response are tried first, because the seeds may be gone by now.
        let mut candidates = writer.read().value.clone();
        candidates.extend(&seeds);
        refresh_after = match fetch_from_any(&client, &candidates, zone.as_deref()).await {
            Some(response) => publish(&mut writer, &response),
            None => RETRY_INTERVAL,
        };
    }
}

async fn fetch_from_any(
    client: &HttpClient,
    hosts: &[SocketAddr],
    zone: Option<&str>,
) -> Option<AddressResponse> {
    for host in hosts {
        let query = zone.map_or(String::new(), |zone| format!("?zone={zone}"));
        let path = format!("/heatherhinge/v1/addresses{query}");
        if let Some(body) = client.get(*host, &path).await
            && let Ok(response) = serde_json::from_slice::<AddressResponse>(&body)
            && !response.hosts.is_empty()
        {
            return Some(response);
        }
    }
    None
}
