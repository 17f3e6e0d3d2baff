# Every target sets up what it needs; VENV may name a prepared environment.
PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
LOCK_SUM := $(shell cksum requirements.lock | cut -d' ' -f1)
READY := $(VENV)/.ready-$(LOCK_SUM)
export PYTHONPATH := src:.
export PYTHONDONTWRITEBYTECODE := 1

.PHONY: demo test lint format bench bench-live soak soak-bookings slopes setup

setup: $(READY)

$(READY):
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --require-hashes -r requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

demo: setup
	$(BIN)/python script/demo.py

test: setup
	$(BIN)/python script/run_tests.py

lint: setup
	$(BIN)/ruff format --check --no-cache .
	$(BIN)/ruff check --no-cache .
	$(BIN)/mypy --cache-dir=/dev/null src bench script soak
	$(BIN)/python script/check_imports.py
	$(BIN)/python script/check_proofs.py

format: setup
	$(BIN)/ruff format --no-cache .
	$(BIN)/ruff check --no-cache --fix .

bench: setup
	$(BIN)/python -m bench.main

bench-live: setup
	$(BIN)/python -m bench.live

# Real processes under faults; SOAK takes seeds and options (docs/SOAK.md).
SOAK ?= --fresh 4
soak: setup
	$(BIN)/python -m soak.main $(SOAK)

# The state machine of bookings alone, in virtual time, for long.
soak-bookings: setup
	$(BIN)/python script/soak_bookings.py

slopes: setup
	$(BIN)/python -m bench.slopes
