.PHONY: build test lint run

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# A front without machines, for a look at its log; PROXY_CONFIG names another configuration.
PROXY_CONFIG ?= crates/node/tests/config.json
run: build
	PROXY_CONFIG=$(PROXY_CONFIG) exec target/release/tidescale
