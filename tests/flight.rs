//! The steps of one request whose peers do not answer.

use dunlinspring::consensus::claims::ClaimAnswer;
use dunlinspring::ids::{AttemptId, Incarnation, Position, TargetName};
use dunlinspring::routing::lifecycle::{
    EndCause, FlightEvent, FlightOutcome, FlightPolicy, FlightStep, FlightTrial, RequestFlight,
};

fn claiming() -> (RequestFlight, FlightTrial) {
    let mut flight = RequestFlight::new(FlightPolicy {
        attempts: 3,
        lost_pulls: 2,
        at_most_once: true,
    });
    let trial = FlightTrial {
        attempt: AttemptId {
            entry: Incarnation(1),
            number: 1,
        },
        target: TargetName("t1".to_owned()),
        life: Incarnation(2),
    };
    flight.on(FlightEvent::Chosen(Some(trial.clone())));
    (flight, trial)
}

#[test]
fn a_call_is_not_refused_because_one_claim_met_no_quorum() {
    let (mut flight, trial) = claiming();
    for _ in 0..2 {
        flight.on(FlightEvent::Lost);
        assert_eq!(flight.step(), FlightStep::Claim(trial.clone()));
    }
    let granted = ClaimAnswer::Granted(Position(9));
    flight.on(FlightEvent::Claimed(granted));
    assert_eq!(flight.step(), FlightStep::Start(trial));
}

#[test]
fn a_call_whose_claims_all_met_no_quorum_is_told_that_it_did_not_run() {
    let (mut flight, _) = claiming();
    for _ in 0..3 {
        flight.on(FlightEvent::Lost);
    }
    let FlightStep::Finish(FlightOutcome::NotRun { cause, .. }) = flight.step() else {
        panic!("{:?}", flight.step());
    };
    assert_eq!(cause, EndCause::NoQuorum);
}
