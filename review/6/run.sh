#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
lab=$root/target/review-2/lab
[ -x "$lab" ] && [ -x "$root/target/release/pooler" ] || {
    echo "build first: the deploy file's build, then review/build-2.sh" >&2
    exit 2
}
scratch=$(mktemp -d) || exit 2
TMPDIR=$scratch "$lab" 6 "$root" "$folder" &
process=$!
# An interrupted run ends its poolers too.
trap 'kill "$process" 2>/dev/null; wait "$process"; rm -rf "$scratch"; exit 2' HUP INT TERM
wait "$process"
code=$?
rm -rf "$scratch"
[ "$code" -le 2 ] || code=2
exit "$code"
