GO ?= go
BIN := bin

# Shown by "crocuscross version". Without them the Go tool's own stamps hold.
VERSION ?= $(shell git describe --tags --always --dirty 2>/dev/null)
COMMIT ?= $(shell git rev-parse HEAD 2>/dev/null)
BUILDINFO := github.com/crocuscross/crocuscross/internal/buildinfo
LDFLAGS := -X $(BUILDINFO).version=$(VERSION) -X $(BUILDINFO).commit=$(COMMIT)

.PHONY: build generate test lint bench fmt demo latency fleet faults soak

build:
	$(GO) build -trimpath -ldflags '$(LDFLAGS)' -o $(BIN)/crocuscross ./cmd/crocuscross
	$(GO) build -trimpath -o $(BIN)/standin ./cmd/standin

generate:
	$(GO) generate ./...

# Flags for all test runs. Known red tests (KNOWN-RED.txt) are passed over and shown.
TESTFLAGS ?=
test:
	@.ci/test $(foreach f,$(TESTFLAGS),'$(f)')

lint:
	@out=$$(gofmt -l .) && { test -z "$$out" || { echo "$$out" >&2; false; }; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

fmt:
	gofmt -w .

# The benchmarks of all packages, or of those in PKGS. What repeats, such as
# allocations, bytes and messages, is bounded by tests and holds in "make test".
PKGS ?= ./...
bench:
	$(GO) test -run '^$$' -bench . -benchmem $(ARGS) $(PKGS)

# The whole path as separate processes; ends by itself in under a minute.
demo: build
	$(GO) run ./bench/demo

# What the path through two daemons adds to a call, against calling the same
# backend servers directly.
latency: build
	$(GO) run ./bench/latency $(ARGS)

# How configuration spreads over N daemons: time until in force, control bytes,
# reads at the source, processor time and memory.
N ?= 100
fleet: build
	$(GO) run ./bench/fleet --daemons $(N) $(ARGS)

# One deployment broken in one way after another under load; what users were
# promised is checked after each. ARGS=--ci runs the short subset,
# ARGS="--seed N --only NAME" one fault again, ARGS="--proof 100000" the proof
# that non-idempotent calls run at most once.
faults: build
	$(GO) run ./bench/faults $(ARGS)

# Real daemons and a stand-in of the platform's store, broken at random while the
# configuration changes; checks that each version is in force in time on every host.
# ARGS="--seed N" repeats a run, ARGS="--help" lists the options.
soak: build
	$(GO) run ./bench/soak $(ARGS)
