//! Tests of `state`.

use types::{ModelName, ModelVersion};

use super::*;

#[tokio::test(start_paused = true)]
async fn weight_store_limits_the_rate_of_loads() {
    let state = PlatformState::new(CallLimits::new(1, 1), 1);
    let weights = WeightId {
        model: ModelName::new("barrel-7b").unwrap(),
        version: ModelVersion::new("v1").unwrap(),
        adapter: None,
    };
    let load_time = Duration::from_secs(20);
    state.add_weights(weights.clone(), load_time);
    state.limit_loads(1);
    assert_eq!(state.load_time(&weights), Ok(Some(load_time)));
    assert_eq!(state.load_time(&weights), Err(PlatformError::RateLimited));
    tokio::time::advance(Duration::from_secs(1)).await;
    assert_eq!(state.load_time(&weights), Ok(Some(load_time)));
}
