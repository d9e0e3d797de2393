#!/bin/sh
# Runs all checks of the project: format, vet, staticcheck, file names in the docs, tests with the race detector.
set -eu
GO="${GO:-go}"
cd "$(dirname "$0")/.."

unformatted=$(git ls-files -co --exclude-standard '*.go' | xargs gofmt -l)
if [ -n "$unformatted" ]; then
	echo "gofmt would change:"
	echo "$unformatted"
	exit 1
fi
$GO vet ./...
$GO tool staticcheck ./...
sh scripts/check-docs.sh
# Only the adapter in folder platform may use the names of the users' platform.
if git grep -nE 'fencing_token|Not-Executed|Prefix-Hash|Token-Count|kv-txn|Response-Signature|Expect-Instance|Kv-Source|Deadline-Ms|Duty-Holder|Fencing-Token|window_id|X-Api-Key|api_keys|strict_revoke|Store-Era' -- '*.go' ':!platform'; then
	echo "names of the platform outside the folder platform"
	exit 1
fi
# Builds with the flags of deploy/system.toml.
$GO build -ldflags=-linkmode=external -o target/ ./cmd/rhubarbpoint
# Known failures that CI passes over. The other entries of KNOWN-RED.txt have no test, or fail too rarely to be excused.
red=$(sed -n 's/^\(Test[A-Za-z0-9_]*\) |.*| CI passes over it$/\1/p' KNOWN-RED.txt | paste -sd '|' -)
if [ -n "$red" ]; then
	echo "known failures, not run (KNOWN-RED.txt):"
	grep -E "^($red) " KNOWN-RED.txt
fi
skip="^(${red:-none})\$"
# The runtime of the race detector crashes in tests in virtual time on several processors, so their packages run on one.
virtual=$(git grep -l '"testing/synctest"' -- '*_test.go' | xargs -n1 dirname | sort -u | sed 's|^|./|')
others=$($GO list ./... | grep -vxF "$(for package in $virtual; do $GO list "$package"; done)")
# -count=1 disables the test cache, which does not know the programs that the tests of internal/fleet run.
log=$(mktemp)
trap 'rm -f "$log"' EXIT
$GO test -race -cpu 1 -count=1 -timeout 20m -skip "$skip" $virtual >"$log" 2>&1 &
virtual_run=$!
status=0
$GO test -race -count=1 -timeout 20m -skip "$skip" $others || status=$?
wait "$virtual_run" || status=$?
cat "$log"
exit "$status"
