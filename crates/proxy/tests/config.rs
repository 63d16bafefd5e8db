//! Decoding the platform's configuration and its endpoint lists.

use pooler_proxy::config::{Config, ConfigError};
use pooler_proxy::discovery::endpoint_list::EndpointList;
use pooler_routing::membership::WatchEvent;
use pooler_routing::{Discovery, GroupId, Lifecycle, LoadReportField, Timestamp};
use serde_json::{Value, json};
use std::path::Path;
use std::time::Duration;

fn document() -> Value {
    let class = |name: &str, deadline: f64| {
        json!({"Name": name, "Effect": "retryable", "Objective": 800.0, "Deadline": deadline, "Worth": 1.0,
               "LateValue": 0.2, "KeyScope": "all", "Stream": false})
    };
    json!({"name": "n1", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0},
        "known": {"generation": 7, "instances": [{"instanceId": "s-1", "lifecycle": "up"}]},
        "settings": {"FleetSize": 3, "Zone": "z", "Discovery": "ask", "Unknown": {"Key": [1, 2]},
            "Lanes": [class("a", 900.0), class("b", 2_500.0)],
            "FamilyInfo": {"NeedsByClass": ["eventual", "eventual"], "OldestData": [0.0, 0.0],
                           "WhenBehind": "await", "SessionMarks": "kept", "Zero": 530002038.635},
            "Report": {"Fields": ["util", "x1"], "How": "probe"},
            "Limits": {"SendCap": 10, "MayDuplicate": true, "Probing": true, "Cancel": true, "RetryAfter": true,
                       "MaxRetryAfter": 2000.0, "Keepalive": 6000.0},
            "Rules": {"DrainGrace": 250.0, "ColdFrom": 0.16, "Cold": 16000.0, "FallMultiple": 2.5,
                      "Fall": 3000.0}}})
}

fn decode(document: &Value) -> Result<Config, ConfigError> {
    Config::decode(&document.to_string())
}

#[test]
fn a_configuration_is_decoded_with_defaults_and_settings_fixed_by_the_proxy() {
    let config = decode(&document()).unwrap();
    assert_eq!(
        (config.name.as_str(), config.seed, config.max_descriptors),
        ("n1", 0x8c1f_30d2_7a5b_e964, 1_024)
    );
    assert_eq!(config.discovery_address, None);
    assert!(config.known_endpoints.is_snapshot, "the known endpoint list is a snapshot");
    assert_eq!((config.known_endpoints.generation, config.known_endpoints.endpoints.len()), (7, 1));
    let proxy = config.proxy;
    assert_eq!(proxy.connect_timeout, Duration::from_millis(250), "the default connect timeout");
    assert_eq!(proxy.server_idle_timeout, Duration::from_secs(6));
    assert_eq!(proxy.longest_deadline, Duration::from_millis(2_500));
    assert!(proxy.shared_discovery);
    let fields = ["util", "x1"].map(|name| (name.to_owned(), LoadReportField::from_name(name)));
    assert_eq!(proxy.load_report_fields, fields);
    assert_eq!(config.settings.discovery, Discovery::Push);
    assert_eq!(config.settings.position_epoch, Timestamp(0));
    assert!(!config.settings.hedging_allowed, "at most one attempt of a request is in flight");
}

#[test]
fn a_seed_is_a_number_or_hexadecimal_digits() {
    let seed = |value: Value| {
        let mut document = document();
        document["seed"] = value;
        decode(&document).map(|config| config.seed)
    };
    assert_eq!(seed(Value::Null).unwrap(), 0);
    assert_eq!(seed(json!(17)).unwrap(), 17);
    assert_eq!(seed(json!("ff")).unwrap(), 255);
    assert!(matches!(seed(json!("xyz")), Err(ConfigError::Seed(digits)) if digits == "xyz"));
}

#[test]
fn a_configuration_with_fewer_than_24_descriptors_is_rejected() {
    let max_descriptors = |count: usize| {
        let mut document = document();
        document["limits"]["sockets"] = json!(count);
        decode(&document).map(|config| config.max_descriptors)
    };
    assert_eq!(max_descriptors(24).unwrap(), 24);
    assert!(matches!(
        max_descriptors(23),
        Err(ConfigError::TooFewDescriptors { configured: 23, required: 24 })
    ));
}

#[test]
fn the_memory_limit_is_read_and_must_suffice_for_a_pooler() {
    // Guards against a memory limit that the platform sets and the pooler does not know.
    let max_memory = |mebibytes: Value| {
        let mut document = document();
        document["limits"]["memory_mb"] = mebibytes;
        decode(&document).map(|config| config.max_memory)
    };
    assert_eq!(max_memory(json!(48)).unwrap(), 48 * 1024 * 1024);
    assert_eq!(max_memory(json!(8.5)).unwrap(), 17 * 512 * 1024);
    for too_little in [json!(7), json!(0), json!(-48)] {
        assert!(matches!(max_memory(too_little), Err(ConfigError::TooLittleMemory { .. })));
    }
}

#[test]
fn only_unreadable_and_truncated_files_are_transient_errors() {
    let complete = document().to_string();
    let truncated = &complete[..complete.len() / 2];
    assert!(Config::decode(truncated).unwrap_err().is_transient());
    assert!(Config::load(Path::new("/nonexistent/pooler.json")).unwrap_err().is_transient());
    let mut unusable = document();
    unusable["settings"]["Lanes"] = Value::Null;
    assert!(!decode(&unusable).unwrap_err().is_transient());
    let mut wrong_type = document();
    wrong_type["listen"] = json!(17);
    assert!(!decode(&wrong_type).unwrap_err().is_transient());
}

#[test]
fn an_endpoint_list_is_decoded_into_claims() {
    let list: EndpointList = serde_json::from_value(json!({"generation": 12, "reset": false, "instances": [
        {"instanceId": "s-1", "hostPort": "127.0.0.1:5432", "zone": "z", "cell": 3, "lifecycle": "up",
         "part": "master", "startedAtMs": 1_500.5, "unknown": 1},
        {"instanceId": "s-2", "hostPort": "nowhere", "lifecycle": "removed", "startedAtMs": 0, "part": "replica"},
        {"instanceId": "s-3", "lifecycle": "resting"}]}))
    .unwrap();
    assert_eq!(list.generation, 12);
    let WatchEvent::Delta(claims) = list.clone().watch_event(5) else { panic!("{list:?}") };
    assert!(claims.iter().all(|claim| claim.version.change_stamp == 5));
    let [first, second, third] = claims.as_slice() else { panic!("{claims:?}") };
    assert_eq!(&*first.endpoint.0, "s-1");
    assert_eq!(first.address, Some("127.0.0.1:5432".parse().unwrap()));
    assert_eq!((first.group, first.lifecycle, first.primary), (Some(GroupId(3)), Lifecycle::Active, true));
    assert_eq!((first.zone.as_str(), first.started_at), ("z", Some(Timestamp(1_500_500))));
    assert_eq!((second.address, second.lifecycle, second.primary), (None, Lifecycle::Removed, false));
    assert_eq!((second.group, second.started_at), (None, None));
    assert_eq!(third.lifecycle, Lifecycle::Draining, "an endpoint in an unknown state gets no new requests");
}

#[test]
fn an_endpoint_list_with_reset_is_a_snapshot() {
    let list: EndpointList = serde_json::from_value(json!({"generation": 1, "reset": true})).unwrap();
    assert_eq!(list.watch_event(9), WatchEvent::Snapshot { claims: Vec::new(), version: 9 });
}
