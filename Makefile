.PHONY: build demo test fmt

# Property tests draw from this seed, so that each run gives the same verdict.
export RAPID_SEED ?= 20261203
export RAPID_NOFAILFILE ?= true

# SKIP names tests to leave out, as a regular expression; see KNOWN-RED.txt.
SKIP ?= ^$$

build:
	go build -o bin/ ./cmd/fulmartided ./cmd/fulmartide

demo:
	go run ./measure/demo

# The packages that take longest come first, so that they do not run on their own at the end.
SLOWEST = ./platform ./test/integration ./internal/limiter

# These tests bound the memory of processes, so they run apart from other load and one at a time.
# They build the daemon themselves, so that the cache of results does not notice its changes.
ALONE = ./test/clients
ALONE_PLATFORM = ^Test(Peer|Caller)Crowd

# The draws of erratic endpoints wait most of the time, one after the other, so they run beside the other tests.
ERRATIC = ^TestCallersGetWholeAnswersOrNoneFromErraticEndpoints$$

.PHONY: test-erratic test-others
test-erratic:
	go test -race -timeout 300s -skip '$(SKIP)' -run '$(ERRATIC)' ./platform

test-others:
	go test -race -timeout 300s -skip '$(SKIP)|$(ALONE_PLATFORM)|$(ERRATIC)' $(SLOWEST) $$(go list ./... | grep -v /test/clients$$)

test:
	$(MAKE) -j2 test-others test-erratic
	go test -count=1 -timeout 120s -skip '$(SKIP)' $(ALONE)
	go test -count=1 -timeout 120s -skip '$(SKIP)' -run '$(ALONE_PLATFORM)' ./platform

fmt:
	go tool gofumpt -w cmd internal measure platform test
