//! Decoding of valid files, and the positions and messages of the errors in invalid ones.

use pooler_operator_config::{FetchMode, LogLevel, OperatorConfig, OperatorConfigError};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;

const VALID: &str = r#"
package pooler

// A registry in addition to the platform's discovery.
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
fn unset_settings_take_their_defaults() {
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
    assert_eq!(decode("").unwrap(), OperatorConfig::default(), "an empty file gives the default settings");
}

#[test]
fn files_with_the_former_package_name_are_accepted() {
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
            "11:2: unknown field 'intervall'; did you mean 'interval'?",
        ),
        ("\"5s\"", "5", "11:12: 'interval': found 5, expected =~"),
        ("\"5s\"", "\"it's\"", "11:12: 'interval': found \"it's\", expected =~"),
        ("\"5s\"", "\"5 s\"", "11:12: 'interval': found \"5 s\", expected =~"),
        ("\"5s\"", "\"5ms\"", "11:12: 'registry.interval': 5ms is out of range: expected 100ms to 3600s"),
        ("0.25", "1.5", "12:14: 'lost_share': found 1.5, expected number & >=0 & <=1 or 0.5"),
        ("0.25", "\"much\"", "12:14: 'lost_share': found \"much\", expected number & >=0 & <=1 or 0.5"),
        ("\"10.1.0.0/16\"", "\"10.1.0.1/16\"", "'registry.networks[0].prefix': 10.1.0.1/16 has bits set"),
        ("fd00::/8", "10.1.0.0/16", "'registry.networks[1].prefix': 10.1.0.0/16 is listed more than once"),
        ("apps: [\"DB\"]", "apps: []", "10:8: 'registry.apps': the list has 0 items: expected 1 to 256"),
        ("apps: [\"DB\"], ", "", "required field 'registry.apps' is missing"),
        ("url: \"http://", "url: \"ftp://", "found \"ftp://127.0.0.1:8761/eureka\", expected =~\"^https?"),
        ("\"10.0.0.5:8443\"", "\"10.0.0.5:99999\"", "'registry.servers[1].at': invalid socket address"),
        ("_pooler\n", "_poler\n", "13:12: '_poler' is not defined; did you mean '_pooler'?"),
        ("\"10s\"}", "\"80s\"}", "'registry.register.expires': must be at least twice 'renew'"),
        ("\"10s\"}", "\"10s\"", "syntax error: expected"),
        ("interval: \"5s\"", "interval: \"5s\"\n\tinterval: \"5s\"", "12:2: field 'interval' is repeated"),
        (
            "\"warn\"",
            "\"loud\"",
            "15:14: 'level': found \"loud\", expected \"error\" or \"warn\" or \"info\" or \"debug\"",
        ),
        ("\"5s\"", "\"5s\"\n\tread: \"vip\"", "'registry.vip': must be set if 'registry.read' is \"vip\""),
        ("log:", "#Own: {}\nlog:", "15:1: '#Own' is already defined in this file or in the schema"),
        ("\"5s\"", "_loop\n", "the value refers to itself"),
    ];
    for (from, to, expected) in cases {
        let text =
            valid().replacen(from, to, 1) + if to.starts_with("_loop") { "\n_loop: _loop\n" } else { "" };
        let message = decode(&text).expect_err(to).to_string();
        assert!(message.contains(expected), "'{to}' gives\n{message}\ninstead of\n{expected}");
    }
}

#[test]
fn all_errors_of_a_stage_are_reported_together() {
    let text = valid().replace("\"5s\"", "7").replace("0.25", "2").replace("\"warn\"", "3");
    let error = decode(&text).unwrap_err();
    let lines: Vec<usize> = error.diagnostics().iter().map(|diagnostic| diagnostic.position.line).collect();
    assert_eq!(lines, [11, 12, 15]);
}

#[test]
fn excessive_nesting_and_excessive_length_are_rejected() {
    for text in ["[".repeat(100_000), format!("a: {}", "{b: ".repeat(5_000)), "a: (".repeat(9_999)] {
        assert!(decode(&text).unwrap_err().to_string().contains("nested more than 32 levels deep"));
    }
    assert!(
        decode(&"// long\n".repeat(40_000)).unwrap_err().to_string().contains("longer than 262144 bytes")
    );
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(3), failure_persistence: None, cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn corrupt_files_never_panic(cut in 0..700_usize, insert in "[ -~\\n]{0,12}", keep in any::<bool>()) {
        let text = valid();
        let cut = cut.min(text.len());
        let rest = if keep { &text[cut..] } else { "" };
        let _ = decode(&format!("{}{insert}{rest}", &text[..cut]));
    }
}
