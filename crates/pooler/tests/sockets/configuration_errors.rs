//! Startup with a configuration that cannot be used.

use crate::support::*;
use serde_json::Value;
use std::io::{BufRead, BufReader};

/// The exit code for a configuration that cannot be used, as in `sysexits.h`.
const EX_CONFIG: i32 = 78;

#[test]
fn an_unreadable_configuration_ends_startup_with_one_line() {
    for (config, expected) in
        [("{", "EOF"), (r#"{"listen":"x"}"#, "invalid socket address"), ("{}", "listen")]
    {
        let (child, file) = spawn_pooler(config);
        let output = child.wait_with_output().unwrap();
        std::fs::remove_file(file).unwrap();
        let error = String::from_utf8(output.stderr).unwrap();
        assert_eq!((output.status.code(), error.lines().count()), (Some(EX_CONFIG), 1), "{error}");
        assert!(error.contains(expected), "{error}");
    }
}

#[test]
fn an_invalid_setting_ends_startup_with_one_line_that_names_it() {
    let discovery = FakeDiscovery::new();
    let valid = PoolerConfig::new(&discovery, Vec::new());
    for (pointer, value, expected) in [
        ("/limits/sockets", Value::from(3), "limits.sockets"),
        ("/settings/FleetSize", (-5).into(), "FleetSize"),
        ("/settings/Lanes/0/Deadline", (-1.0).into(), "Lanes.0.Deadline"),
        ("/settings/Lanes/1/Objective", 1e300.into(), "Lanes.1.Objective"),
        ("/settings/Lanes/1/Name", "bundle-menu".into(), "two classes are named 'bundle-menu'"),
        ("/settings/Limits/SendCap", (-3).into(), "Limits.SendCap"),
        ("/settings/Limits/Keepalive", (-1).into(), "Limits.Keepalive"),
        ("/settings/Limits/DialTimeout", 1e300.into(), "Limits.DialTimeout"),
        ("/settings/Rules/Cold", (-100.0).into(), "Rules.Cold"),
    ] {
        let (mut child, file) = spawn_pooler(&valid.clone().with(pointer, value).to_string());
        // A pooler that starts nevertheless logs its address first, and would not exit by itself.
        let mut line = String::new();
        BufReader::new(child.stderr.take().unwrap()).read_line(&mut line).unwrap();
        let started = line.contains("listening");
        if started {
            child.kill().unwrap();
        }
        let status = child.wait().unwrap();
        std::fs::remove_file(file).unwrap();
        assert!(!started && line.contains(expected), "{pointer}: {line}");
        assert_eq!(status.code(), Some(EX_CONFIG), "{pointer}");
    }
}
