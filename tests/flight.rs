//! The steps of one request whose peers do not answer.

use dunlinspring::consensus::claims::ClaimReply;
use dunlinspring::ids::{AttemptId, Incarnation, Position, TargetName};
use dunlinspring::routing::lifecycle::{
    AttemptPolicy, EndCause, RequestEvent, RequestLifecycle, RequestOutcome, RequestStep,
    TargetAttempt,
};

fn claiming() -> (RequestLifecycle, TargetAttempt) {
    let mut flight = RequestLifecycle::new(AttemptPolicy {
        max_attempts: 3,
        max_timeouts: 2,
        at_most_once: true,
    });
    let trial = TargetAttempt {
        id: AttemptId {
            entry: Incarnation(1),
            number: 1,
        },
        target: TargetName("t1".to_owned()),
        incarnation: Incarnation(2),
    };
    flight.on(RequestEvent::Chosen(Some(trial.clone())));
    (flight, trial)
}

#[test]
fn a_call_is_not_refused_because_one_claim_met_no_quorum() {
    let (mut flight, trial) = claiming();
    for _ in 0..2 {
        flight.on(RequestEvent::NoReply);
        assert_eq!(flight.step(), RequestStep::Claim(trial.clone()));
    }
    let granted = ClaimReply::Granted(Position(9));
    flight.on(RequestEvent::Claimed(granted));
    assert_eq!(flight.step(), RequestStep::Start(trial));
}

#[test]
fn a_call_whose_claims_all_met_no_quorum_is_told_that_it_did_not_run() {
    let (mut flight, _) = claiming();
    for _ in 0..3 {
        flight.on(RequestEvent::NoReply);
    }
    let RequestStep::Finish(RequestOutcome::NotRun { cause, .. }) = flight.step() else {
        panic!("{:?}", flight.step());
    };
    assert_eq!(cause, EndCause::NoQuorum);
}
