//! Exchanges with hosts that do not respond.

use super::*;
use crate::fleet_view::view;
use heatherhinge_steering::GossipDigest;

// Guards against a dead connection that keeps this host from asking another one for newer orders for
// as long as the transfer of a large configuration may take.
#[tokio::test]
async fn an_exchange_for_orders_ends_when_nothing_arrives() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let request = SyncRequest {
        own: view(&["a"]).live.remove(0),
        told: GossipDigest::States(Vec::new()),
        orders_version: StoreVersion::NONE,
        orders_changed: StoreVersion::NONE,
        orders_told: StoreVersion::NONE,
        targets_version: StoreVersion::NONE,
        targets_age_ms: 0,
    };
    let client = FleetClient::default();
    // The connection is accepted by the system, and nobody reads from it.
    let exchange = client.sync(listener.local_addr().unwrap(), request);
    tokio::select! {
        biased;
        () = sleep(ORDERS_SYNC_TIMEOUT - CONNECT_TIMEOUT) => panic!("the exchange still waits"),
        response = exchange => assert!(response.is_none()),
    }
}
