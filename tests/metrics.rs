//! Labels of metrics are bounded.

use dunlinspring::process::metrics::{MetricKey, MetricRegistry};

#[test]
fn accounts_beyond_a_number_share_one_label() {
    let mut book = MetricRegistry::default();
    for number in 0..200 {
        let name = format!("account-{number}");
        let label = book.account_label(&name).to_owned();
        book.count(MetricKey::new("requests", &[("account", &label)]), 1);
    }
    assert_eq!(book.account_label("account-3"), "account-3");
    let text = book.render();
    let lines = text.lines().filter(|line| line.starts_with("requests{"));
    assert_eq!(lines.count(), 65);
    assert!(text.contains(r#"requests{account="other"} 136"#), "{text}");
}
