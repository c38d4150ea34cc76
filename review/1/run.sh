#!/usr/bin/env bash
# 1: the rule was broken, 0: it held, 2: could not run. TROUBLE=0: no cut.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
exec python3 -m review.1.case
