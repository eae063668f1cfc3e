//! Keeps the routers running for manual use.

use scene::{Scene, account_key};

/// Prints addresses, keys and an example request, and keeps serving until SIGINT.
pub(crate) async fn serve(scene: &Scene) {
    println!("platform stand-in  {}", scene.platform_address());
    for (name, router) in scene.routers.iter() {
        println!("{name:18} {} (peers {})", router.caller_address(), router.peer_address());
    }
    for account in scene.config().accounts.keys() {
        println!("key of {account:12} {}", account_key(account.as_str()).expose());
    }
    println!("key of operator    {}", account_key("admin").expose());
    if let Some(address) = scene.routers.caller_addresses().first() {
        println!();
        println!("curl http://{address}/v1/chat/completions \\");
        println!("  -H 'Authorization: Bearer {}' \\", account_key("cooperative").expose());
        println!("  -H 'Content-Type: application/json' \\");
        println!(
            "  -d '{{\"model\": \"assessment\", \"max_tokens\": 40, \"stream\": true, \
            \"messages\": [{{\"role\": \"user\", \"content\": \"Which hoop?\"}}]}}'"
        );
    }
    println!("\nServing until SIGINT.");
    let _ = tokio::signal::ctrl_c().await;
}
