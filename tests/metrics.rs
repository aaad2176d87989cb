//! Limit on the number of metric labels.

use dunlinspring::process::metrics::{MetricKey, MetricRegistry};

#[test]
fn accounts_beyond_the_limit_share_one_label() {
    let mut registry = MetricRegistry::default();
    for number in 0..200 {
        let name = format!("account-{number}");
        let label = registry.account_label(&name).to_owned();
        registry.count(MetricKey::new("requests", &[("account", &label)]), 1);
    }
    assert_eq!(registry.account_label("account-3"), "account-3");
    let text = registry.render();
    let lines = text.lines().filter(|line| line.starts_with("requests{"));
    assert_eq!(lines.count(), 65);
    assert!(text.contains(r#"requests{account="other"} 136"#), "{text}");
}
