# Two commands for newcomers: make demo and make test.
GO ?= go

.PHONY: build demo test generate bench bench-capacity fuzz soak clean

build:
	$(GO) build -o bin/ ./cmd/...

test:
	GO="$(GO)" sh scripts/check.sh

generate:
	$(GO) generate ./...
	$(GO) test ./internal/docgen ./daemon -run 'IsCurrent|TestDaemon' -update

# Replays traces and plays deployments under all policies: make bench SEED=7, make bench TRACE=file,
# make bench DEPLOYMENT=file.
SEED ?= 1
TRACE ?=
DEPLOYMENT ?=
bench:
	$(if $(DEPLOYMENT),,$(GO) run ./cmd/bench -seed $(SEED) $(if $(TRACE),-trace "$(TRACE)"))
	$(if $(TRACE),,$(GO) run ./cmd/simulate -seed $(SEED) $(if $(DEPLOYMENT),-deployment "$(DEPLOYMENT)",-before docs/deployments-previous.json))

# Fuzzes each decoder that reads from outside for FUZZTIME.
FUZZTIME ?= 20s
fuzz:
	$(GO) test ./config -run xxx -fuzz FuzzDecode -fuzztime $(FUZZTIME)
	$(GO) test ./entry -run xxx -fuzz FuzzDecodeChat -fuzztime $(FUZZTIME)
	$(GO) test ./engine/httpengine -run xxx -fuzz FuzzFrames -fuzztime $(FUZZTIME)
	$(GO) test ./peer -run xxx -fuzz FuzzReadFrame -fuzztime $(FUZZTIME)
	$(GO) test ./platform -run xxx -fuzz FuzzDecodeTable -fuzztime $(FUZZTIME)
	$(GO) test ./platform -run xxx -fuzz FuzzDecodeReplica -fuzztime $(FUZZTIME)
	$(GO) test ./platform -run xxx -fuzz FuzzParseResponse -fuzztime $(FUZZTIME)

# Plays faults against real processes: make soak SEED=n, or make soak MINUTES=m from that seed on.
MINUTES ?=
soak: build
	./bin/soak -seed $(SEED) $(if $(MINUTES),-minutes $(MINUTES))

clean:
	rm -rf bin bench/out

bench-capacity:
	$(GO) run ./cmd/capacity

# Plays a recorded trace through a fleet of separate processes on loopback.
demo: build
	./bin/demo
