#!/usr/bin/env bash
# 1: the rule was broken, 0: it held, 2: the case could not run.
exec "$(dirname "$0")/run-case" 6
