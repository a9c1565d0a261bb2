#!/usr/bin/env bash
# Prepares what the scripts of review/6 to review/10 start. The stand-ins are
# plain Python without dependencies; the programs are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="review/standins-2:target/deps" PYTHONDONTWRITEBYTECODE=1
python3 -c "import deployment, plain_http, store, worker"
python3 -c "import gypsumline.platform.entry_daemon, gypsumline.platform.agent_daemon"
