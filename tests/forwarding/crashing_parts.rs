//! Parts of prompts that crash replicas, in requests of which no two are alike.

use crate::support::crashing::CRASHING_PART;
use crate::support::{ForwardSite, RouteShape};

const STREAM: RouteShape = RouteShape::stream("/stream/", false);
const ENTRIES: usize = 3;
/// First part of all prompts, guilty or not.
const FIRST_PART: &str = "aa";

async fn start() -> ForwardSite {
    let mut site = ForwardSite::start(&[STREAM]).await;
    for _ in 1..ENTRIES {
        site.add_entry().await;
    }
    for name in ["r1", "r2", "r3", "r4"] {
        site.add_crashing(name).await;
    }
    site
}

#[ntex::test]
async fn requests_with_a_crashing_part_of_their_prompts_crash_few_replicas() {
    let site = start().await;
    for number in 0..12 {
        let parts = [FIRST_PART, CRASHING_PART];
        let id = format!("guilty-{number}");
        site.send_prompt(number % ENTRIES, "/stream/x", &id, &parts)
            .await;
        site.wait_for_restarts().await;
        let parts = [FIRST_PART, &format!("b{}", number % 3)];
        let id = format!("sound-{number}");
        let entry = (number + 1) % ENTRIES;
        let sound = site.send_prompt(entry, "/stream/x", &id, &parts).await;
        assert_eq!(sound.status, 200, "request {number}");
    }
    assert!(site.crash_count() <= 4, "{} crashed", site.crash_count());
    for entry in 0..ENTRIES {
        let parts = ["ee", CRASHING_PART];
        let id = format!("refused-{entry}");
        let refused = site.send_prompt(entry, "/stream/x", &id, &parts).await;
        assert_eq!(refused.status, 503);
        assert!(refused.header("retry-after").is_some());
    }
}
