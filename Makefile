PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup test lint format demo up bench matrix capacity days
# The users' bench and the site files of the regression runs, for `make days`.
FLEETBENCH ?= fleetbench
SITES ?=
JOBS ?= 2
WHY ?= regression run

$(STAMP): pyproject.toml constraints.txt requirements-dev.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -c constraints.txt \
		-r requirements-dev.txt
	$(BIN)/pip install -q --disable-pip-version-check -c constraints.txt \
		--no-build-isolation -e .
	touch $@

setup: $(STAMP)

test: $(STAMP)
	$(BIN)/python -m pytest

lint: $(STAMP)
	$(BIN)/ruff format --check src
	$(BIN)/ruff check src

format: $(STAMP)
	$(BIN)/ruff format src
	$(BIN)/ruff check --fix src

demo: $(STAMP)
	$(BIN)/basilpond-testkit-demo run

up: $(STAMP)
	$(BIN)/basilpond-testkit-demo up

bench: $(STAMP)
	$(BIN)/python -m basilpond_testkit.bench
	$(BIN)/python -m basilpond_testkit.bench_routing
	$(BIN)/python -m basilpond_testkit.bench_budget

matrix: $(STAMP)
	$(BIN)/python -m basilpond_testkit.matrix

capacity: $(STAMP)
	$(BIN)/python -m basilpond_testkit.capacity

days:
	test -n "$(SITES)"
	for site in $(SITES); do \
		$(FLEETBENCH) score $$site --jobs $(JOBS) --why "$(WHY)" || exit 1; \
	done
