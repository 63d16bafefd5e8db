//! Decoding of response bodies: complete ones in JSON and XML, split at any byte, and malformed ones.

use pooler_routing::Lifecycle;
use pooler_routing::membership::WatchEvent;
use pooler_service_registry::eureka::body::{BodyError, BodyFormat, BodyScanner, SyntaxError};
use pooler_service_registry::eureka::decoder::{BodyDecoder, BodySummary, DecodedBody};
use pooler_service_registry::eureka::digest::RegistryDigest;
use pooler_service_registry::eureka::instance::{Instance, InstanceStatus};
use pooler_service_registry::eureka::mapping::{InstanceMapping, MappingError};
use pooler_service_registry::eureka::networks::{NetworkMatch, Networks};
use pooler_service_registry::eureka::poll_schedule::{FetchKind, Poll};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// A size limit in bytes that no body of these tests reaches.
const MAX_BYTES: u64 = 8 << 20;
/// A JSON instance in service. Its metadata and a nested object resemble the start and the end of instances.
const ACTIVE: &str = r#"{"instanceId":"s-1","app":"DB","ipAddr":"10.1.0.4","hostName":"h","status":"UP",
 "overriddenstatus":"UNKNOWN","port":{"$":6543,"@enabled":"true"},"securePort":{"$":"443","@enabled":"false"},
 "leaseInfo":{"registrationTimestamp":17},"metadata":{"group":"2","role":"primary","note":"}]{[\" \\"},
 "lastUpdatedTimestamp":"1767225600124","lastDirtyTimestamp":"1767225600123","actionType":"ADDED","nested":{"instance":[{}]}}"#;
/// A JSON instance out of service, of the same application.
const DRAINING: &str = r#"{"instanceId":"s-2","app":"db","ipAddr":"10.1.0.5","status":"OUT_OF_SERVICE","port":6544,
 "metadata":{"@class":"java.util.Collections$EmptyMap"},"lastDirtyTimestamp":1767225600200}"#;
/// An XML body with the same two instances. A comment and a CDATA section look like instance tags.
const XML_BODY: &str = r#"<?xml version="1.0"?><!-- <instance> in a comment --><applications><versions__delta>1</versions__delta>
<apps__hashcode>OUT_OF_SERVICE_1_UP_1_</apps__hashcode><application><name>DB</name>
<instance><instanceId>s-1</instanceId><app>DB</app><ipAddr>10.1.0.4</ipAddr><status>UP</status>
<port enabled="true">6543</port><securePort enabled="false">443</securePort>
<leaseInfo><registrationTimestamp>17</registrationTimestamp></leaseInfo>
<metadata><group>2</group><role>primary</role><note><![CDATA[</instance> > <]]></note></metadata>
<lastUpdatedTimestamp>1767225600124</lastUpdatedTimestamp><lastDirtyTimestamp>1767225600123</lastDirtyTimestamp>
<actionType>ADDED</actionType></instance>
<instance><instanceId>s-2</instanceId><app>DB</app><ipAddr>10.1.0.5</ipAddr><status>OUT_OF_SERVICE</status>
<port enabled="true">6544</port><metadata class="java.util.Collections$EmptyMap"/>
<lastDirtyTimestamp>1767225600200</lastDirtyTimestamp></instance></application></applications>
"#;

/// A JSON body with both instances and an application without instances.
fn json_body() -> String {
    format!(
        r#"{{"applications":{{"versions__delta":"1","apps__hashcode":"OUT_OF_SERVICE_1_UP_1_","application":[
        {{"name":"DB","instance":[{ACTIVE},{DRAINING}]}},{{"name":"EMPTY","instance":[]}}]}}}}"#
    )
}

fn mapping() -> InstanceMapping {
    let mut networks = Networks::default();
    networks.add("10.1.0.0/16".parse().unwrap(), Some("adum".into()));
    InstanceMapping {
        apps: ["DB".to_owned()].into(),
        networks,
        group_key: "group".into(),
        default_group: Some(7),
        zone_key: "zone".into(),
        role_key: "role".into(),
        primary_role: "primary".into(),
        started_at_key: "startedAtMs".into(),
        ..InstanceMapping::default()
    }
}

/// Decodes a snapshot whose bytes arrive in parts that are split at these offsets.
fn decode(
    format: BodyFormat,
    text: &[u8],
    splits: &[usize],
) -> Result<(DecodedBody, RegistryDigest), BodyError> {
    let (mapping, mut digest) = (mapping(), RegistryDigest::default());
    let poll = Poll { server: 0, fetch: FetchKind::Snapshot };
    let mut decoder = BodyDecoder::new(&mapping, &digest, poll, format, MAX_BYTES);
    let mut start = 0;
    for split in splits.iter().copied().chain([text.len()]) {
        let end = split.clamp(start, text.len());
        decoder.push(&text[start..end])?;
        start = end;
    }
    let body = decoder.finish(&mut digest)?;
    Ok((body, digest))
}

fn decode_json(text: &str) -> Result<DecodedBody, BodyError> {
    decode(BodyFormat::Json, text.as_bytes(), &[]).map(|(body, _)| body)
}

fn decode_summary(text: &str) -> BodySummary {
    decode_json(text).unwrap().summary
}

/// Asserts that the body with both instances is decoded completely when it is split at these offsets.
fn assert_decodes_completely(format: BodyFormat, text: &[u8], splits: &[usize]) {
    let (DecodedBody { event, summary }, digest) = decode(format, text, splits).unwrap();
    assert_eq!(summary.hash_code.as_deref(), Some("OUT_OF_SERVICE_1_UP_1_"));
    assert_eq!(digest.hash_code(), "OUT_OF_SERVICE_1_UP_1_");
    let WatchEvent::Snapshot { claims, version } = event else { panic!("expected a snapshot") };
    assert_eq!((version, summary.instances, summary.rejected), (2 * 1_767_225_600_200 + 1, 2, 0));
    let first = &claims[0];
    assert_eq!((&*first.endpoint.0, first.lifecycle, first.primary), ("s-1", Lifecycle::Active, true));
    assert_eq!((first.address.unwrap().to_string(), first.group.unwrap().0), ("10.1.0.4:6543".to_owned(), 2));
    assert_eq!((first.zone.as_str(), first.version.change_stamp), ("adum", 2 * 1_767_225_600_123 + 1));
    assert_eq!((claims[1].lifecycle, claims[1].group.unwrap().0), (Lifecycle::Draining, 7));
}

#[test]
fn a_body_decodes_the_same_wherever_it_is_split() {
    let json = json_body();
    for split in 0..json.len() {
        assert_decodes_completely(BodyFormat::Json, json.as_bytes(), &[split]);
    }
    for split in 0..XML_BODY.len() {
        assert_decodes_completely(BodyFormat::Xml, XML_BODY.as_bytes(), &[split]);
    }
    let each: Vec<usize> = (0..json.len()).collect();
    assert_decodes_completely(BodyFormat::Json, json.as_bytes(), &each);
    assert_decodes_completely(BodyFormat::Xml, XML_BODY.as_bytes(), &(0..XML_BODY.len()).collect::<Vec<_>>());
}

#[test]
fn a_truncated_body_is_an_error() {
    let json = json_body();
    for end in 0..json.len() {
        assert!(
            decode(BodyFormat::Json, &json.as_bytes()[..end], &[]).is_err(),
            "a body cut after {end} bytes"
        );
    }
    for end in 0..XML_BODY.trim_end().len() {
        assert!(
            decode(BodyFormat::Xml, &XML_BODY.as_bytes()[..end], &[]).is_err(),
            "a body cut after {end} bytes"
        );
    }
}

#[test]
fn single_instances_and_applications_may_be_plain_objects() {
    let body = format!(
        r#"{{"applications":{{"apps__hashcode":"UP_1_","application":{{"name":"DB","instance":{ACTIVE}}}}}}}"#
    );
    assert_eq!(decode_summary(&body).instances, 1);
    let body = format!(r#"{{"application":{{"name":"DB","instance":[{ACTIVE},{DRAINING}]}}}}"#);
    assert_eq!(decode_summary(&body).instances, 2, "both instances of the application");
    assert_eq!(decode_summary(&format!(r#"{{"instance":{ACTIVE}}}"#)).instances, 1);
}

#[test]
fn syntax_errors_state_their_offset_and_cause() {
    let syntax_error = |format, text: &str| match decode(format, text.as_bytes(), &[]) {
        Err(BodyError::Syntax { offset, error }) => (offset, error),
        other => panic!("{text:?}: {other:?}"),
    };
    let texts = [
        (SyntaxError::InvalidJson, "not valid JSON"),
        (SyntaxError::TrailingData, "data after the end of the document"),
        (SyntaxError::UnmatchedBracket, "closing bracket without a matching opening bracket"),
        (SyntaxError::NestedTooDeeply, "nesting exceeds the depth limit"),
        (SyntaxError::TextBeforeRoot, "not valid XML: text before the root element"),
        (SyntaxError::MismatchedEndTag, "end tag does not match the innermost open element"),
        (SyntaxError::UnsupportedDocumentType, "document type and entity declarations are not supported"),
        (SyntaxError::InstanceTooLong, "instance exceeds the size limit"),
    ];
    for (error, text) in texts {
        assert_eq!(error.to_string(), text);
    }
    assert_eq!(syntax_error(BodyFormat::Json, "<html>"), (0, SyntaxError::InvalidJson));
    assert_eq!(syntax_error(BodyFormat::Json, "{\"a\":1}}"), (7, SyntaxError::TrailingData));
    assert_eq!(syntax_error(BodyFormat::Json, "{\"a\":1]"), (6, SyntaxError::UnmatchedBracket));
    assert_eq!(syntax_error(BodyFormat::Json, &"[".repeat(10_000)), (48, SyntaxError::NestedTooDeeply));
    assert_eq!(
        syntax_error(BodyFormat::Json, &format!("{{\"instance\":{{\"a\":{}", "[".repeat(10_000))).1,
        SyntaxError::NestedTooDeeply
    );
    assert_eq!(syntax_error(BodyFormat::Xml, "{}"), (0, SyntaxError::TextBeforeRoot));
    assert_eq!(syntax_error(BodyFormat::Xml, "<a></b>"), (6, SyntaxError::MismatchedEndTag));
    assert_eq!(
        syntax_error(BodyFormat::Xml, "<!DOCTYPE a [<!ENTITY b \"c\">]>").1,
        SyntaxError::UnsupportedDocumentType
    );
    assert_eq!(syntax_error(BodyFormat::Xml, &"<a>".repeat(10_000)).1, SyntaxError::NestedTooDeeply);
    let long = format!("{{\"instance\":{{\"a\":\"{}", "x".repeat(300_000));
    assert_eq!(syntax_error(BodyFormat::Json, &long).1, SyntaxError::InstanceTooLong);
    let error = BodyError::Syntax { offset: 7, error: SyntaxError::TrailingData };
    assert_eq!(error.to_string(), "syntax error at byte 7: data after the end of the document");
    let mut scanner = BodyScanner::new(BodyFormat::Json, 100);
    let pushed = scanner.push(&[b' '; 101], &mut |_| Ok(()));
    assert!(matches!(pushed, Err(BodyError::TooLarge { max_bytes: 100 })), "{pushed:?}");
}

#[test]
fn the_number_of_instances_is_bounded() {
    let many = "{\"instanceId\":\"1\"},".repeat(50_001);
    let body = format!("{{\"instance\":[{}]}}", many.trim_end_matches(','));
    match decode_json(&body) {
        Err(error @ BodyError::TooManyInstances { max_instances: 50_000 }) => {
            assert_eq!(error.to_string(), "document contains more than 50000 instances");
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn the_memory_of_a_body_grows_with_what_is_kept_of_it() {
    // Guards against a registry whose instances fill the memory unaccounted for.
    let (mapping, digest) = (mapping(), RegistryDigest::default());
    let poll = Poll { server: 0, fetch: FetchKind::Snapshot };
    let mut decoder = BodyDecoder::new(&mapping, &digest, poll, BodyFormat::Json, MAX_BYTES);
    let empty = decoder.memory_size();
    decoder.push(br#"{"applications":{"application":{"instance":["#).unwrap();
    let id = "s".repeat(100);
    for number in 0..200 {
        let instance = ACTIVE.replace("s-1", &format!("{id}-{number}"));
        decoder.push(format!("{instance},").as_bytes()).unwrap();
    }
    let kept = decoder.memory_size() - empty;
    assert!((20_000..200_000).contains(&kept), "{kept} bytes for 200 ids of 100 bytes");
}

#[test]
fn the_memory_of_a_digest_grows_with_the_instances_of_all_applications() {
    // Guards against a registry whose deltas name ever new instances of other applications.
    const INSTANCES: usize = 2_000;
    let (mapping, mut digest) = (mapping(), RegistryDigest::default());
    for delta in 0..2 {
        let poll = Poll { server: 0, fetch: FetchKind::Delta };
        let mut decoder = BodyDecoder::new(&mapping, &digest, poll, BodyFormat::Json, MAX_BYTES);
        let instances: Vec<String> = (0..INSTANCES)
            .map(|number| ACTIVE.replace("s-1", &format!("{delta}-{number}")).replace("\"db\"", "\"other\""))
            .collect();
        let body =
            format!(r#"{{"applications":{{"application":{{"instance":[{}]}}}}}}"#, instances.join(","));
        decoder.push(body.as_bytes()).unwrap();
        decoder.finish(&mut digest).unwrap();
        let size = digest.memory_size();
        let entries = (delta + 1) * INSTANCES * 16;
        assert!((entries..4 * entries).contains(&size), "{size} bytes for {entries} bytes of entries");
    }
}

#[test]
fn a_delta_is_applied_to_the_digest_only_once_it_is_complete() {
    let (mapping, mut digest) = (mapping(), RegistryDigest::default());
    let mut hash_code_after = |fetch, text: &str, is_complete: bool| {
        let poll = Poll { server: 0, fetch };
        let mut decoder = BodyDecoder::new(&mapping, &digest, poll, BodyFormat::Json, MAX_BYTES);
        decoder.push(text.as_bytes()).unwrap();
        if is_complete {
            decoder.finish(&mut digest).unwrap();
        }
        digest.hash_code()
    };
    assert_eq!(hash_code_after(FetchKind::Snapshot, &json_body(), true), "OUT_OF_SERVICE_1_UP_1_");
    let deleted = ACTIVE.replace("ADDED", "DELETED");
    let other = DRAINING.replace("OUT_OF_SERVICE", "UP").replace("\"db\"", "\"DB\"");
    let delta = format!("{{\"application\":{{\"instance\":[{deleted},{other}]}}}}");
    assert_eq!(hash_code_after(FetchKind::Delta, &delta[..delta.len() - 3], false), "OUT_OF_SERVICE_1_UP_1_");
    assert_eq!(
        hash_code_after(FetchKind::Delta, &delta, true),
        "UP_1_",
        "one instance deleted, the other replaced"
    );
    assert_eq!(
        hash_code_after(FetchKind::Delta, &delta, true),
        "UP_1_",
        "the same delta again changes nothing"
    );
}

#[test]
fn an_unreadable_instance_is_skipped_and_no_endpoint_counts_as_missing() {
    let bad = ACTIVE.replace("1767225600123", "soon").replace("s-1", "s-9");
    let body = format!(r#"{{"applications":{{"application":{{"instance":[{bad},{DRAINING}]}}}}}}"#);
    let DecodedBody { event, summary } = decode_json(&body).unwrap();
    assert_eq!((summary.instances, summary.unreadable), (2, 1));
    let problems: Vec<String> = summary.problems.iter().map(ToString::to_string).collect();
    assert_eq!(problems, ["instance 's-9': invalid lastDirtyTimestamp 'soon'"]);
    // No endpoint may count as missing here: the unreadable instance may belong to any endpoint.
    assert!(matches!(event, WatchEvent::Snapshot { claims, version: i64::MIN } if claims.len() == 1));
}

#[test]
fn an_instance_outside_the_networks_drains_without_an_address() {
    let outside = ACTIVE.replace("10.1.0.4", "10.2.0.4");
    let body = format!(r#"{{"application":{{"instance":[{outside}]}}}}"#);
    let DecodedBody { event, summary } = decode_json(&body).unwrap();
    assert_eq!((summary.rejected, summary.outside_networks), (1, 1));
    let WatchEvent::Snapshot { claims, .. } = event else { panic!("expected a snapshot") };
    assert_eq!((claims[0].lifecycle, claims[0].address), (Lifecycle::Draining, None));
    let instance = |text: &str| Instance::from_json(text.as_bytes()).unwrap();
    let error_of = |text: &str| mapping().claim(&instance(text), 0).unwrap_err();
    assert_eq!(error_of(&ACTIVE.replace("\"DB\"", "\"WEB\"")), MappingError::OtherApplication);
    assert_eq!(
        error_of(&ACTIVE.replace("10.1.0.4", "box.example")),
        MappingError::InvalidAddress { address: "box.example".into(), port: Some(6543) }
    );
    assert_eq!(error_of(&ACTIVE.replace("\"2\"", "\"two\"")), MappingError::InvalidGroup("two".into()));
    assert_eq!(
        error_of(&ACTIVE.replace("\"$\":6543,\"@enabled\":\"true\"", "\"$\":6543,\"@enabled\":\"false\"")),
        MappingError::InvalidAddress { address: "10.1.0.4".into(), port: None }
    );
    assert_eq!(
        error_of(&ACTIVE.replace("10.1.0.4", "::ffff:10.2.0.4")),
        MappingError::OutsideNetworks("10.2.0.4".parse().unwrap())
    );
}

#[test]
fn a_starting_registration_is_older_than_the_same_one_in_service() {
    let stamp = |status: &str| {
        let instance =
            Instance::from_json(ACTIVE.replace("\"UP\"", &format!("\"{status}\"")).as_bytes()).unwrap();
        mapping().claim(&instance, 0).unwrap().version.change_stamp
    };
    assert!(stamp("STARTING") < stamp("UP") && stamp("UP") == stamp("DOWN"));
    assert_eq!(InstanceStatus::from_name("whatever"), InstanceStatus::Unknown);
}

#[test]
fn the_longest_prefix_determines_the_zone() {
    let mut networks = Networks::default();
    assert!(networks.add("10.0.0.0/8".parse().unwrap(), None));
    assert!(networks.add("10.1.0.0/16".parse().unwrap(), Some("adum".into())));
    assert!(!networks.add("10.1.0.0/16".parse().unwrap(), None), "the same network again");
    assert!(networks.add("fd00::/8".parse().unwrap(), Some("suame".into())));
    let find = |text: &str| networks.find(text.parse().unwrap());
    assert_eq!(find("10.1.2.3"), Some(NetworkMatch { zone: Some("adum".into()) }));
    assert_eq!(find("10.2.2.3"), Some(NetworkMatch { zone: None }));
    assert_eq!(find("fd00::1"), Some(NetworkMatch { zone: Some("suame".into()) }));
    assert_eq!((find("11.0.0.1"), find("fe80::1")), (None, None));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        cases: 300,
        ..ProptestConfig::default()
    })]

    #[test]
    fn modified_bodies_never_panic_and_decode_the_same_wherever_split(
        position in 0..1_400_usize,
        replacement in prop::collection::vec(any::<u8>(), 0..6),
        xml in any::<bool>(),
        split in 0..1_400_usize,
    ) {
        let (format, text) =
            if xml { (BodyFormat::Xml, XML_BODY.to_owned()) } else { (BodyFormat::Json, json_body()) };
        let mut bytes = text.into_bytes();
        let position = position.min(bytes.len());
        bytes.splice(position..(position + replacement.len() / 2).min(bytes.len()), replacement);
        let whole = decode(format, &bytes, &[]).map(|(body, _)| body.summary.instances);
        let in_two_parts = decode(format, &bytes, &[split]).map(|(body, _)| body.summary.instances);
        prop_assert_eq!(whole.is_ok(), in_two_parts.is_ok(), "the result depends on where the body is split");
        prop_assert_eq!(whole.ok(), in_two_parts.ok());
    }
}
