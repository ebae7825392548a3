# Two commands from a fresh clone: `make up` and `make test`.
VENV ?= .venv
PYTHON ?= python3.11

.PHONY: up test seeds bench faults

$(VENV)/.installed: requirements-lock.txt pyproject.toml
	test -d $(VENV) || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q -r requirements-lock.txt
	$(VENV)/bin/pip install -q --no-deps -e .
	touch $@

up: $(VENV)/.installed
	$(VENV)/bin/orchidlane up examples/materials/fleet.cue

test: $(VENV)/.installed
	$(VENV)/bin/python -m pytest

# Long runs, not part of the tests
seeds: $(VENV)/.installed
	$(VENV)/bin/orchidlane seeds examples/materials/random.cue --count 2000

faults: $(VENV)/.installed
	CHANGE_SEEDS=2000 $(VENV)/bin/python -m pytest tests/processes tests/test_rollout_scenarios.py tests/test_consensus_model.py

bench: $(VENV)/.installed
	$(VENV)/bin/python -m benchmarks.gateway
	$(VENV)/bin/python -m benchmarks.timers
	$(VENV)/bin/python -m benchmarks.routes
