//! Runs the stand-in for the platform's services until the process is ended.

use heatherhinge_standin_platform::{options, spawn};

#[tokio::main]
async fn main() -> eyre::Result<()> {
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .init();
    let mut running = spawn(&options().run()).await?;
    tracing::info!(
        table = %running.table_addr,
        objects = %running.objects_addr,
        list = %running.list_addr,
        "standin-platform: serving"
    );
    running.stopped().await;
    Ok(())
}
