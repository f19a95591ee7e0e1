#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
if [ ! -x target/kingcupquay ] || [ ! -x target/review-2 ]; then
    echo "build first: the build line of deploy/system.toml, then review/build-2.sh" >&2
    exit 2
fi
exec target/review-2 -record review/9/record.txt second
