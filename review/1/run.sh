#!/bin/bash
# Plays the case on loopback with the programs of deploy/system.toml. TROUBLE=0 leaves the change of the configuration out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
stand_in=review/build/case-$(basename "$here")
for needed in "$stand_in" target/gannethold-proxy target/gannethold-controller; do
    [ -x "$needed" ] || { echo "$needed is missing: build by deploy/system.toml, then review/build.sh" >&2; exit 2; }
done
folder=$(mktemp -d) || exit 2
TROUBLE=${TROUBLE:-1} timeout -k 5 110 "$stand_in" "$folder" "$here/record.txt"
status=$?
rm -rf "$folder"
[ "$status" -le 1 ] || status=2
exit "$status"
