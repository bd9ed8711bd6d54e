#!/usr/bin/env bash
# Builds the stand-ins of review/11 to review/15. They are Python programs without dependencies, so
# that only their syntax is checked; python3 is one of the project's packages.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast, glob
for path in sorted(glob.glob("harness-3/*.py") + glob.glob("1[1-5]/*.py")):
    with open(path, encoding="utf-8") as it:
        ast.parse(it.read(), path)
CHECK
test -x ../target/wagtailhitch || echo "target/wagtailhitch is missing: run the build of deploy/system.toml first" >&2
