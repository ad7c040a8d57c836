#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/target/review/case$(basename "$here")
[ -x "$program" ] && [ -x "$root/target/release/kelpdoord" ] || { echo "not built"; exit 2; }
tmp=$(mktemp -d) || exit 2
timeout -s TERM 115 "$program" "$root" "$here" "$tmp" &
pid=$!
trap 'kill "$pid" 2>/dev/null' INT TERM
wait "$pid"
status=$?
# Left only where the program was ended before it had ended the director.
[ -f "$tmp/director.pid" ] && kill -9 "$(cat "$tmp/director.pid")" 2>/dev/null
rm -rf "$tmp"
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
