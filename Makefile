# Two commands for newcomers: make demo and make test.
GO ?= go

.PHONY: build demo test generate bench bench-capacity fuzz clean

build:
	$(GO) build -o bin/ ./cmd/...

test:
	GO="$(GO)" sh scripts/check.sh

generate:
	$(GO) generate ./...

clean:
	rm -rf bin bench/out

bench-capacity:
	$(GO) run ./cmd/capacity
