#!/usr/bin/env bash
# Ends with 1 if the rule was broken, 0 if it held, and 2 if the case could not
# run. TROUBLE=0 leaves out the disruption.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../common/run-case" 1
