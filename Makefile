# Two commands for newcomers: make demo and make test.
GO ?= go

.PHONY: build demo test generate bench bench-capacity fuzz clean

build:
	$(GO) build -o bin/ ./cmd/...

test:
	GO="$(GO)" sh scripts/check.sh

generate:
	$(GO) generate ./...
	$(GO) test ./internal/docgen ./daemon -run 'IsCurrent|TestCatalogue' -update

# Replays traces under all policies: make bench SEED=7, or make bench TRACE=file.
SEED ?= 1
TRACE ?=
bench:
	$(GO) run ./cmd/bench -seed $(SEED) $(if $(TRACE),-trace "$(TRACE)")

clean:
	rm -rf bin bench/out

bench-capacity:
	$(GO) run ./cmd/capacity

# Plays a recorded trace through a fleet of separate processes on loopback.
demo: build
	./bin/demo
