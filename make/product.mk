.PHONY: demo bench known-red

# The commands run in the module directory, from which they find the examples.
demo:
	@cd integration && $(GO) run ./cmd/demo

bench:
	@cd integration && $(GO) run ./cmd/bench

# Prints the tests that CI passes over; they have the build tag knownred.
known-red:
	@grep -v '^#' KNOWN-RED.txt || true
