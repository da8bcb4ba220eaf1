.PHONY: demo test

CARGO ?= cargo

demo:
	$(CARGO) run --release --locked --package jasminebend -- demo $(DEMO_FLAGS)

test:
	$(CARGO) test --locked --workspace --no-fail-fast
