use verbenaspool_transport::settings;

use super::Shares;

fn parse(text: &str) -> Result<Shares, String> {
    settings::parse("entry.yaml".as_ref(), text).map_err(|error| error.to_string())
}

/// Guards against settings of shares that are rejected or read wrongly.
#[test]
fn valid_weights_are_read() {
    let shares = parse("enabled: true\nweights: { loft: 2.5, mill: 1000, quay: 1 }").unwrap();
    assert!(shares.enabled);
    let weights: Vec<f64> = shares.weights.values().copied().collect();
    assert_eq!(weights, [2.5, 1_000.0, 1.0]);
    assert_eq!(parse("{}"), Ok(Shares::default()));
    assert!(!Shares::default().enabled);
}

/// Guards against invalid weights that are accepted, and against errors that don't name the
/// customer and the value.
#[test]
fn invalid_weights_are_rejected_with_customer_and_value() {
    for (weight, shown) in [
        ("0", "0"),
        ("-3", "-3"),
        ("1000.5", "1000.5"),
        (".nan", "NaN"),
        (".inf", "inf"),
        ("much", "much"),
        ("[1]", "no number"),
        ("null", "no number"),
    ] {
        let error = parse(&format!("weights: {{ mill: {weight}, loft: 1 }}")).unwrap_err();
        assert!(error.contains("mill"), "{weight}: {error}");
        assert!(error.contains(shown), "{weight}: {error}");
        assert!(!error.contains("loft"), "{weight}: {error}");
    }
}
