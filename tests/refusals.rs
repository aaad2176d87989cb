//! Causes that an entry reports for requests that it holds back because of an agent's earlier
//! refusal.

use dunlinspring::admission::runs::{NotRun, RefuseCause};
use dunlinspring::ids::{Incarnation, ModelName, RowId, TargetName};
use dunlinspring::routing::refusals::{HomeRequest, RefusalTracker};

/// A refusal of an engine was reported, and counted, as that of a target without the model.
#[test]
fn a_request_is_held_back_for_the_cause_of_the_refusal() {
    let (target, row) = (TargetName("t1".to_owned()), RowId("row".to_owned()));
    let model = ModelName::from("review");
    let request = HomeRequest {
        target: &target,
        incarnation: Incarnation(1),
        row: &row,
        model: &model,
        wait_limit_ms: 100,
    };
    for cause in [
        RefuseCause::Engine,
        RefuseCause::NotHome,
        RefuseCause::NoLease,
        RefuseCause::Overload,
    ] {
        let mut refusals = RefusalTracker::default();
        let refusal = NotRun {
            cause,
            retry_after_ms: 900,
        };
        refusals.record(0, &request, &refusal);
        let known = refusals.known_refusal(1, &request);
        assert_eq!(known.map(|refusal| refusal.cause), Some(cause));
    }
}
