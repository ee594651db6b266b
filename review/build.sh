#!/usr/bin/env bash
# Builds what the cases start beside the programs of deploy/service.toml: the stand-ins, which are Python.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile standins/*.py ./*/case.py
