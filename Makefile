# The common tasks. CONFIG names the configuration for `make run`.
CONFIG ?= config.json

.PHONY: build test lint run ci testbed proof-eureka bench-eureka proof-primary demo

build:
	cargo build --locked --release

test:
	cargo test --locked --workspace

lint:
	cargo fmt --check
	cargo clippy --locked --workspace --all-targets -- -D warnings
	cargo clippy --locked --workspace -- -D warnings -D clippy::too_many_lines -D clippy::wildcard_imports
	RUSTDOCFLAGS="-D warnings" cargo doc --locked --workspace --no-deps

run: build
	GW_CONFIG=$(CONFIG) target/release/pooler

ci:
	bash .ci/run

# The testbed: fake servers, scenarios and a model checker. None of it is part of CI.
testbed:
	cargo build --locked --release -p pooler -p pooler-testbed

# Plays all scenarios of a registry that lags, responds wrongly and vanishes; the last line is one JSON object.
proof-eureka: testbed
	target/release/pooler-testbed eureka

# Time and memory of a snapshot and of a delta, at 200, 2,000 and 20,000 instances.
bench-eureka: testbed
	target/release/pooler-testbed eureka-bench

# A primary that dies at each step of a write, in each way, and hands over by plan; the last line is one JSON object.
proof-primary: testbed
	target/release/pooler-testbed primary

# A registry, fake servers, a pooler and a client on loopback, to look at. Ends on Ctrl-C or after DEMO_S seconds.
demo: testbed
	target/release/pooler-testbed demo --seconds $(or $(DEMO_S),0)
