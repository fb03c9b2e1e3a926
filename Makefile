.PHONY: build test lint doc run

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

doc:
	RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked

# An instance without endpoints, for a look at its log; PROXY_CONFIG names another configuration.
PROXY_CONFIG ?= crates/proxy/tests/config.json
run: build
	PROXY_CONFIG=$(PROXY_CONFIG) exec target/release/tidescale

# The variants in deploy/sites are played with the operators' bench, which wants the kit's files beside them.
KIT ?= ../given/kit
.PHONY: sites
sites:
	cp $(KIT)/sites/real.json $(KIT)/sites/wire.json deploy/sites/
	cp unlock.txt deploy/sites/unlock.txt
