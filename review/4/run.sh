#!/usr/bin/env bash
# Plays the case; see claim.txt. Exit code: 1 rule broken, 0 rule held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-rig ] && [ -x target/kumquat-scheduler ] || exit 2
exec target/review-rig owed review/4/record.txt
