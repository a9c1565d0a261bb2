#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python without dependencies; the
# programs under test are built by the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile standins/*.py ./*/case.py
