VENV ?= .venv
PYTHON := $(VENV)/bin/python
SEED ?= 1
WALKS ?= 300
SEEDS ?= 1
SECONDS ?= 30

.PHONY: setup lint format types unit properties test run bench faults mutants binary binary-check fuzz soak

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.lock
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --requirement requirements.lock
	touch $@

format: setup
	$(PYTHON) -m ruff format .
	$(PYTHON) -m ruff check --fix .

lint: setup
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .

types: setup
	$(PYTHON) -m mypy

unit: setup
	$(PYTHON) -m pytest

test: lint types unit

run: setup
	$(PYTHON) -m gypsumline.testing.local_system

bench: setup
	$(PYTHON) -m benchmarks.report

faults: setup
	$(PYTHON) -m benchmarks.faults --seed $(SEED)

mutants: setup
	$(PYTHON) -m benchmarks.mutants

fuzz: setup
	$(PYTHON) -m properties.control_walk --seed $(SEED) --walks $(WALKS)
	$(PYTHON) -m properties.submission_walk --seed $(SEED) --walks $(WALKS)
	$(PYTHON) -m properties.lease_walk --seed $(SEED) --walks $(WALKS)
	$(PYTHON) -m soak.odd_inputs --seed $(SEED) --groups $(WALKS)

soak: setup
	$(PYTHON) -m soak --seed $(SEED) --seeds $(SEEDS) --seconds $(SECONDS)

binary-check: binary
	$(PYTHON) -m benchmarks.binary_check

binary: setup
	mkdir -p dist
	$(VENV)/bin/shiv --quiet --compressed --console-script gypsumline --python "/usr/bin/env python3" --output-file dist/gypsumline --no-deps --requirement requirements-runtime.lock .
