//! Evacuation of data halls by operators, over real sockets.

use dunlinspring::consensus::state::HallStanding;
use dunlinspring::control::registry::RegistryError;

use crate::support::{Behaviour, ForwardSite, RouteShape, wait_for};

const PLAIN: RouteShape = RouteShape::plain("/plain/");

#[ntex::test]
async fn an_evacuated_hall_gets_nothing_until_it_is_opened_again() {
    let mut site = ForwardSite::start(&[PLAIN]).await;
    site.add_replica("r1", vec![Behaviour::Response(200, "well"); 200])
        .await;
    assert_eq!(site.send("GET", "/plain/a", "first", "").await.status, 200);
    // Setting the same state again succeeds, as operators repeat a call without a reply.
    for _ in 0..2 {
        site.set_hall("hall", HallStanding::Evacuated)
            .await
            .unwrap();
    }
    wait_for("the entry to follow", async || {
        let answer = site.send("GET", "/plain/a", "probe", "").await;
        (answer.status == 503).then_some(())
    })
    .await;
    let seen = site.seen("r1").len();
    for number in 0..5 {
        let answer = site
            .send("GET", "/plain/a", &format!("no-{number}"), "")
            .await;
        assert_eq!(answer.status, 503);
        assert!(answer.header("retry-after").is_some());
    }
    assert_eq!(site.seen("r1").len(), seen);
    site.set_hall("hall", HallStanding::Open).await.unwrap();
    wait_for("the entry to follow", async || {
        let answer = site.send("GET", "/plain/a", "probe", "").await;
        (answer.status == 200).then_some(())
    })
    .await;
}

#[ntex::test]
async fn an_unknown_hall_is_named_in_the_error() {
    let site = ForwardSite::start(&[PLAIN]).await;
    let refused = site.set_hall("hal", HallStanding::Evacuated).await;
    assert!(matches!(&refused, Err(RegistryError::UnknownHall { hall }) if hall.as_str() == "hal"));
    assert!(refused.unwrap_err().to_string().contains("'hal'"));
}
