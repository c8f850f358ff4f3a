//! The entry hosts, as the system itself names them; `docs/design.md`, section 13.

use super::{Destination, HttpClient};
use heatherhinge_blackboard::{Reader, Writer, entry};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Shortest time between two questions, whatever the answer says.
const KEEP_MIN: Duration = Duration::from_millis(100);
/// Pause after a question that no host answered.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The part of the answer of `GET /heatherhinge/v1/addresses` that the tool uses.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct AddressResponse {
    /// Entry hosts in the order in which they should be tried.
    pub hosts: Vec<HostAddress>,
    /// Time for which the answer may be used, in milliseconds.
    pub keep_ms: u64,
}

/// One entry host.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct HostAddress {
    /// The address for callers.
    pub addr: SocketAddr,
}

/// A list of entry hosts that a task keeps up to date.
#[derive(Debug)]
pub struct AddressList {
    hosts: Reader<Vec<SocketAddr>>,
    refresh_task: JoinHandle<()>,
}

impl AddressList {
    /// Asks the seeds for the entry hosts and starts to keep the list up to date.
    ///
    /// # Errors
    ///
    /// Returns an error if no seed answers.
    pub async fn spawn(
        client: HttpClient,
        seeds: Vec<SocketAddr>,
        zone: Option<String>,
    ) -> eyre::Result<Self> {
        let answer = ask_any(&client, &seeds, zone.as_deref())
            .await
            .ok_or_else(|| eyre::eyre!("load: no entry host answered with addresses"))?;
        let (hosts, mut writer) = entry(Vec::new());
        let keep = publish(&mut writer, &answer);
        let refresh_task = tokio::spawn(refresh(client, seeds, zone, writer, keep));
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

fn publish(writer: &mut Writer<Vec<SocketAddr>>, answer: &AddressResponse) -> Duration {
    writer.publish(answer.hosts.iter().map(|host| host.addr).collect());
    Duration::from_millis(answer.keep_ms).max(KEEP_MIN)
}

async fn refresh(
    client: HttpClient,
    seeds: Vec<SocketAddr>,
    zone: Option<String>,
    mut writer: Writer<Vec<SocketAddr>>,
    mut keep: Duration,
) {
    loop {
        tokio::time::sleep(keep).await;
        // Hosts of the last answer are asked first; the seeds may be gone by now.
        let mut known = writer.read().value.clone();
        known.extend(&seeds);
        keep = match ask_any(&client, &known, zone.as_deref()).await {
            Some(answer) => publish(&mut writer, &answer),
            None => RETRY_PAUSE,
        };
    }
}

async fn ask_any(
    client: &HttpClient,
    hosts: &[SocketAddr],
    zone: Option<&str>,
) -> Option<AddressResponse> {
    for host in hosts {
        let query = zone.map_or(String::new(), |zone| format!("?zone={zone}"));
        let path = format!("/heatherhinge/v1/addresses{query}");
        if let Some(body) = client.get(*host, &path).await
            && let Ok(answer) = serde_json::from_slice::<AddressResponse>(&body)
            && !answer.hosts.is_empty()
        {
            return Some(answer);
        }
    }
    None
}
