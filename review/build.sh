#!/usr/bin/env bash
# The stand-ins are Python sources, those of platform/soak/ included: this only checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins/*.py [0-9]/*.py ../platform/soak/{kv_store,proxy,wire}.py <<'P'
import sys
for path in sys.argv[1:]:
    compile(open(path).read(), path, "exec")
P
