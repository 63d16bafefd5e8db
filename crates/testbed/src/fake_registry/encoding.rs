//! Encodes registrations as Eureka's JSON and XML, and decodes registration requests.

use super::registrations::Registration;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Eureka's `apps__hashcode`: the number of registrations in each status, such as `DOWN_1_UP_3_`. A client
/// that computes another value after it applied a delta has missed a change.
pub fn hash_code<'r>(registrations: impl Iterator<Item = &'r Registration>) -> String {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for registration in registrations {
        *counts.entry(&registration.status).or_default() += 1;
    }
    counts.iter().map(|(status, count)| format!("{status}_{count}_")).collect()
}

/// Decodes the body of a registration request (`POST /apps/{app}`). Missing or malformed numbers become 0.
pub fn decode_registration(body: &Value, app: &str) -> Registration {
    let instance = &body["instance"];
    let text = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_owned);
    Registration {
        app: app.to_ascii_uppercase(),
        id: text(&instance["instanceId"]),
        ip: text(&instance["ipAddr"]),
        port: instance["port"]["$"].as_u64().and_then(|port| u16::try_from(port).ok()).unwrap_or(0),
        status: text(&instance["status"]),
        overridden_status: "UNKNOWN".into(),
        dirty_ms: text(&instance["lastDirtyTimestamp"]).parse().unwrap_or(0),
        ..Registration::default()
    }
}

/// Encodes an instance in the JSON that Eureka's Jackson serializer writes.
pub fn instance_json(registration: &Registration) -> Value {
    let Registration { app, id, ip, port, status, overridden_status, dirty_ms, .. } = registration;
    let Registration { updated_ms, registered_ms, action, .. } = registration;
    let mut metadata = serde_json::Map::new();
    if registration.metadata.is_empty() {
        metadata.insert("@class".into(), "java.util.Collections$EmptyMap".into());
    }
    metadata.extend(registration.metadata.iter().map(|(key, value)| (key.clone(), value.as_str().into())));
    json!({
        "instanceId": id, "app": app, "hostName": ip, "ipAddr": ip, "status": status,
        "overriddenstatus": overridden_status, "vipAddress": app.to_ascii_lowercase(),
        "port": {"$": port, "@enabled": "true"}, "securePort": {"$": 443, "@enabled": "false"},
        "countryId": 1, "dataCenterInfo": {
            "@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo", "name": "MyOwn"},
        "leaseInfo": {
            "renewalIntervalInSecs": 30, "durationInSecs": 90, "registrationTimestamp": registered_ms,
            "lastRenewalTimestamp": updated_ms, "evictionTimestamp": 0, "serviceUpTimestamp": registered_ms},
        "metadata": metadata, "homePageUrl": format!("http://{ip}:{port}/"),
        "isCoordinatingDiscoveryServer": "false", "lastUpdatedTimestamp": updated_ms.to_string(),
        "lastDirtyTimestamp": dirty_ms.to_string(), "actionType": action})
}

/// Encodes a list of instances in JSON. As in Eureka's Jackson output, a list of one element is written as
/// the bare element instead of an array.
pub fn applications_json(registrations: &[Registration], hash_code: &str) -> Value {
    let mut apps: BTreeMap<&str, Vec<Value>> = BTreeMap::new();
    for registration in registrations {
        apps.entry(&registration.app).or_default().push(instance_json(registration));
    }
    let element_or_array =
        |mut list: Vec<Value>| if list.len() == 1 { list.remove(0) } else { Value::from(list) };
    let apps = apps
        .into_iter()
        .map(|(name, instances)| json!({"name": name, "instance": element_or_array(instances)}));
    json!({"applications": {
        "versions__delta": "1", "apps__hashcode": hash_code,
        "application": element_or_array(apps.collect())}})
}

/// Encodes a list of instances in XML.
pub fn applications_xml(registrations: &[Registration], hash_code: &str) -> String {
    let mut apps: BTreeMap<&str, String> = BTreeMap::new();
    for registration in registrations {
        *apps.entry(&registration.app).or_default() += &instance_xml(registration);
    }
    let apps = apps
        .iter()
        .map(|(name, instances)| format!("<application><name>{name}</name>{instances}</application>\n"));
    let apps: String = apps.collect();
    format!(
        "<?xml version=\"1.0\"?>\n<!-- a <comment> -->\n<applications>\n<versions__delta>1</versions__delta>\
         <apps__hashcode>{hash_code}</apps__hashcode>\n{apps}</applications>\n"
    )
}

fn instance_xml(registration: &Registration) -> String {
    let Registration { app, ip, port, status, overridden_status, action, .. } = registration;
    let Registration { registered_ms, updated_ms, dirty_ms, .. } = registration;
    let id = escape_xml(&registration.id);
    let metadata = registration.metadata.iter();
    let metadata: String =
        metadata.map(|(key, value)| format!("<{key}>{}</{key}>", escape_xml(value))).collect();
    format!(
        "<instance><instanceId>{id}</instanceId><hostName>{ip}</hostName><app>{app}</app><ipAddr>{ip}</ipAddr>\
         <status>{status}</status><overriddenstatus>{overridden_status}</overriddenstatus>\
         <port enabled=\"true\">{port}</port>\
         <securePort enabled=\"false\">443</securePort><countryId>1</countryId>\
         <dataCenterInfo class=\"com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo\"><name>MyOwn</name>\
         </dataCenterInfo><leaseInfo><registrationTimestamp>{registered_ms}</registrationTimestamp></leaseInfo>\
         <metadata>{metadata}</metadata><lastUpdatedTimestamp>{updated_ms}</lastUpdatedTimestamp>\
         <lastDirtyTimestamp>{dirty_ms}</lastDirtyTimestamp><actionType>{action}</actionType></instance>"
    )
}

fn escape_xml(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;")
}
