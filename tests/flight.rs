//! Steps of a request lifecycle whose peers do not reply.

use dunlinspring::consensus::claims::ClaimReply;
use dunlinspring::ids::{AttemptId, Incarnation, Position, TargetName};
use dunlinspring::routing::lifecycle::{
    AttemptPolicy, EndCause, RequestEvent, RequestLifecycle, RequestOutcome, RequestStep,
    TargetAttempt,
};

fn claiming() -> (RequestLifecycle, TargetAttempt) {
    let mut lifecycle = RequestLifecycle::new(AttemptPolicy {
        max_attempts: 3,
        max_timeouts: 2,
        at_most_once: true,
    });
    let attempt = TargetAttempt {
        id: AttemptId {
            entry: Incarnation(1),
            number: 1,
        },
        target: TargetName("t1".to_owned()),
        incarnation: Incarnation(2),
    };
    lifecycle.on(RequestEvent::Chosen(Some(attempt.clone())));
    (lifecycle, attempt)
}

#[test]
fn a_call_is_not_refused_because_one_claim_met_no_quorum() {
    let (mut lifecycle, attempt) = claiming();
    for _ in 0..2 {
        lifecycle.on(RequestEvent::NoReply);
        assert_eq!(lifecycle.step(), RequestStep::Claim(attempt.clone()));
    }
    let granted = ClaimReply::Granted(Position(9));
    lifecycle.on(RequestEvent::Claimed(granted));
    assert_eq!(lifecycle.step(), RequestStep::Start(attempt));
}

#[test]
fn a_call_whose_claims_all_met_no_quorum_is_reported_as_not_run() {
    let (mut lifecycle, _) = claiming();
    for _ in 0..3 {
        lifecycle.on(RequestEvent::NoReply);
    }
    let RequestStep::Finish(RequestOutcome::NotRun { cause, .. }) = lifecycle.step() else {
        panic!("{:?}", lifecycle.step());
    };
    assert_eq!(cause, EndCause::NoQuorum);
}
