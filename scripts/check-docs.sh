#!/bin/sh
# Checks that the files and folders of this repository that the docs name, in links or in backquotes, exist.
set -eu
cd "$(dirname "$0")/.."
missing=0
for page in *.md docs/*.md; do
	[ -f "$page" ] || continue
	folder=$(dirname "$page")
	for target in $(grep -oE '\]\([^)#]+' "$page" | cut -c3- | grep -v '://' || true); do
		if [ ! -e "$folder/$target" ]; then
			echo "$page names $target, which does not exist"
			missing=1
		fi
	done
	for target in $(grep -oE '`(cmd|docs|scripts|internal|testdata|examples|bench|engine|topo|config|peer)/[A-Za-z0-9_./-]+`' "$page" | tr -d '`' || true); do
		case "$target" in bench/out* | config/current) continue ;; esac
		if [ ! -e "$target" ]; then
			echo "$page names $target, which does not exist"
			missing=1
		fi
	done
done
exit $missing
