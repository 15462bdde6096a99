# The habitual verbs. `make help` lists them.

DEPLOYMENT ?= kinh-sang
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := core schema store vmlist workers endpoints peers scheduler \
	operators callers entry side platform testing
EDITABLE := $(foreach name,$(PACKAGES),-e packages/$(name))
STAMP := $(VENV)/.installed

.PHONY: help setup run run-jobs test lint format generate faults soak bench bench-requests bench-decisions bench-crashes mutants slopes clean

help:
	@echo 'make setup     install everything into $(VENV)'
	@echo 'make run       run a whole deployment and check every answer;'
	@echo '               DEPLOYMENT=kinh-sang (default) or floodwatch'
	@echo 'make run-jobs  run jobs on the platform interfaces, step by step'
	@echo 'make test      run the tests'
	@echo 'make lint      run the linter and check the formatting'
	@echo 'make format    format the code'
	@echo 'make generate  make packages/schema anew from proto/'
	@echo 'make faults    run real processes under faults; FAULTS="--seed 2"'
	@echo 'make soak      run real programs on the platform under faults;'
	@echo '               SOAK="--seed 1 --count 50 --seconds 20"'
	@echo 'make bench     measure state and ownership against their bounds'
	@echo 'make bench-requests   measure routing and limits'
	@echo 'make bench-decisions  measure decisions against baselines'
	@echo 'make bench-crashes  measure how tasks that crash workers are told'
	@echo 'make mutants   which walks find a rule that is taken out'
	@echo 'make slopes    measure what docs/CAPACITY.md is worked out from'
	@echo 'make clean     remove $(VENV)'

setup: $(STAMP)

$(STAMP): requirements.txt requirements-dev.txt packages/*/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements-dev.txt
	$(BIN)/pip install -q --no-build-isolation --no-deps $(EDITABLE)
	touch $(STAMP)

run: setup
	$(BIN)/python -m portwharf.testing.demo examples/$(DEPLOYMENT).toml

run-jobs: setup
	$(BIN)/python -m portwharf.testing.demo_jobs

test: setup
	$(BIN)/python -m portwharf.testing.suite

lint: setup
	$(BIN)/flake8 packages
	$(BIN)/ruff format --check packages

format: setup
	$(BIN)/ruff format packages

generate: setup
	PATH=$(BIN):$$PATH $(BIN)/python -m grpc_tools.protoc -I proto \
		--py_out=packages/schema --connectrpc_out=packages/schema \
		proto/portwharf/v1/*.proto
	rm -f packages/schema/__init__.py packages/schema/portwharf/__init__.py
	git checkout -q packages/schema/portwharf/v1/__init__.py

faults: setup
	$(BIN)/python -m portwharf.testing.faults $(FAULTS)

soak: setup
	$(BIN)/python -m portwharf.testing.soak $(SOAK)

bench: setup
	$(BIN)/python -m portwharf.testing.bench

bench-decisions: setup
	$(BIN)/python -m portwharf.testing.bench_decisions $(SEEDS)

bench-crashes: setup
	$(BIN)/python -m portwharf.testing.crash_play $(CRASHES)

mutants: setup
	$(BIN)/python -m portwharf.testing.mutants $(MUTANTS)

bench-requests: setup
	$(BIN)/python -m portwharf.testing.bench_requests

slopes: setup
	$(BIN)/python -m portwharf.testing.slopes

clean:
	rm -rf $(VENV)
