#!/bin/sh
# Builds the stand-ins of the scripts. They use only the standard library.
cd "$(dirname "$0")" && GOFLAGS=-mod=mod GOPROXY=off go build -buildvcs=false -o target/lab ./lab
