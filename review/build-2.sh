#!/usr/bin/env bash
# Builds the stand-ins of cases 4 to 8: they are Python scripts, which are compiled once, below target/, as a check.
# Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."

if ! command -v python3 >/dev/null; then
    echo "review/build-2.sh: python3 is missing; the project's tests need it too" >&2
    exit 1
fi
if [ ! -x target/ospreywell ] || [ ! -x target/ospreywell-agent ]; then
    echo "review/build-2.sh: first run the build of deploy/service.toml" >&2
    exit 1
fi
export PYTHONPYCACHEPREFIX="$PWD/target/review-2"
python3 -m py_compile review/standins-2/*.py review/[4-8]/*.py
echo "review/build-2.sh: the stand-ins are ready"
