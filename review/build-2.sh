#!/usr/bin/env bash
# Prepares the stand-ins of the cases 4 to 8: Python programs, which are compiled here to find mistakes early.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B -c "import sys; [compile(open(path).read(), path, \"exec\") for path in sys.argv[1:]]" \
	platform/soak/kv_store.py platform/soak/wire.py review/rig-2/*.py review/rig-3/*.py review/[4-8]/case.py
