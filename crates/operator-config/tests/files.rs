//! Valid files, and invalid ones: each error with its position.

use pooler_operator_config::{FetchMode, LogLevel, OperatorConfig, OperatorConfigError};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;

const VALID: &str = r#"
package pooler

// A registry beside the platform's discovery.
registry: {
	servers: [{url: "http://127.0.0.1:8761/eureka"}, {
		url: "https://registry.example/eureka"
		at:  "10.0.0.5:8443"
	}]
	apps: ["DB"], networks: [{prefix: "10.1.0.0/16", zone: "adum"}, {prefix: "fd00::/8"}]
	interval: "5s"
	lost_share: 0.25
	register: _pooler
}
log: level: "warn"
"#;

fn decode(text: &str) -> Result<OperatorConfig, OperatorConfigError> {
    OperatorConfig::decode("operator.cue", text.as_bytes())
}

fn valid() -> String {
    VALID
        .replace("log: level: \"warn\"", "log: {level: \"warn\"}\n_pooler: {app: \"POOLER\", renew: \"10s\"}")
}

#[test]
fn missing_settings_have_defaults() {
    let config = decode(&valid()).unwrap();
    let registry = config.registry.unwrap();
    assert_eq!(registry.poll_interval, Duration::from_secs(5));
    assert_eq!(registry.call_timeout, Duration::from_secs(10));
    assert_eq!((registry.max_missing_fraction, registry.accept_loss_after), (0.25, None));
    assert_eq!(registry.fetch_mode, FetchMode::Delta);
    assert_eq!(registry.servers[1].address.unwrap().port(), 8443);
    assert_eq!(registry.networks[1].prefix.to_string(), "fd00::/8");
    assert_eq!(registry.max_body_bytes, 64 << 20);
    assert_eq!(registry.metadata_keys.group, "group");
    let registration = registry.registration.unwrap();
    assert_eq!(registration.renewal_interval, Duration::from_secs(10));
    assert_eq!(registration.lease_duration, Duration::from_secs(90));
    assert_eq!(config.log.level, LogLevel::Warn);
    assert_eq!(decode("").unwrap(), OperatorConfig::default(), "an empty file configures nothing");
}

#[test]
fn files_of_the_former_package_name_stay_readable() {
    let former = valid().replace("package pooler", "package linnetdeal");
    assert_ne!(former, valid());
    assert_eq!(decode(&former).unwrap(), decode(&valid()).unwrap());
}

#[test]
fn each_error_is_reported_with_its_position() {
    let cases = [
        (
            "interval: \"5s\"",
            "intervall: \"5s\"",
            "11:2: there is no field 'intervall' here; is 'interval' meant?",
        ),
        ("\"5s\"", "5", "11:12: 'interval': 5 does not fit =~"),
        ("\"5s\"", "\"it's\"", "11:12: 'interval': \"it's\" does not fit"),
        ("\"5s\"", "\"5 s\"", "11:12: 'interval': \"5 s\" does not fit"),
        ("\"5s\"", "\"5ms\"", "11:12: 'registry.interval': 5ms is not between 100ms and 3600s"),
        ("0.25", "1.5", "12:14: 'lost_share': 1.5 does not fit number & >=0 & <=1 or 0.5"),
        ("0.25", "\"much\"", "12:14: 'lost_share': \"much\" does not fit"),
        ("\"10.1.0.0/16\"", "\"10.1.0.1/16\"", "'registry.networks[0].prefix': 10.1.0.1/16 has bits set"),
        ("fd00::/8", "10.1.0.0/16", "'registry.networks[1].prefix': 10.1.0.0/16 is named twice"),
        ("apps: [\"DB\"]", "apps: []", "10:8: 'registry.apps': 0 are named"),
        ("apps: [\"DB\"], ", "", "'registry.apps' is missing"),
        ("url: \"http://", "url: \"ftp://", "does not fit =~\"^https?"),
        ("\"10.0.0.5:8443\"", "\"10.0.0.5:99999\"", "'registry.servers[1].at': invalid socket address"),
        ("_pooler\n", "_poler\n", "13:12: '_poler' is not defined; is '_pooler' meant?"),
        ("\"10s\"}", "\"80s\"}", "one renewal that is lost must not end it"),
        ("\"10s\"}", "\"10s\"", "expected"),
        ("interval: \"5s\"", "interval: \"5s\"\n\tinterval: \"5s\"", "12:2: 'interval' stands here twice"),
        (
            "\"warn\"",
            "\"loud\"",
            "15:14: 'level': \"loud\" does not fit \"error\" or \"warn\" or \"info\" or \"debug\"",
        ),
        ("\"5s\"", "\"5s\"\n\tread: \"vip\"", "'registry.vip': it goes with read"),
        ("log:", "#Own: {}\nlog:", "15:1: '#Own' is defined already"),
        ("\"5s\"", "_loop\n", "it refers to itself"),
    ];
    for (from, to, expected) in cases {
        let text =
            valid().replacen(from, to, 1) + if to.starts_with("_loop") { "\n_loop: _loop\n" } else { "" };
        let message = decode(&text).expect_err(to).to_string();
        assert!(message.contains(expected), "'{to}' gives\n{message}\nand not\n{expected}");
    }
}

#[test]
fn all_errors_are_reported_at_once() {
    let text = valid().replace("\"5s\"", "7").replace("0.25", "2").replace("\"warn\"", "3");
    let error = decode(&text).unwrap_err();
    let lines: Vec<usize> = error.diagnostics().iter().map(|diagnostic| diagnostic.position.line).collect();
    assert_eq!(lines, [11, 12, 15]);
}

#[test]
fn too_deep_nesting_and_too_long_files_are_errors() {
    for text in ["[".repeat(100_000), format!("a: {}", "{b: ".repeat(5_000)), "a: (".repeat(9_999)] {
        assert!(decode(&text).unwrap_err().to_string().contains("deep"));
    }
    assert!(decode(&"// long\n".repeat(40_000)).unwrap_err().to_string().contains("longer than"));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(3), failure_persistence: None, cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_files_never_panic(cut in 0..700_usize, junk in "[ -~\\n]{0,12}", keep in any::<bool>()) {
        let text = valid();
        let cut = cut.min(text.len());
        let rest = if keep { &text[cut..] } else { "" };
        let _ = decode(&format!("{}{junk}{rest}", &text[..cut]));
    }
}
