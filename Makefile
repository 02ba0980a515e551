# Commands for users and developers. `make demo` and `make test` need nothing
# but Python 3.11, make and the package registry.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: env demo test lint format bench

$(VENV)/.installed: requirements.txt deploy/requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation --editable .
	touch $@

env: $(VENV)/.installed

demo: env
	$(BIN)/python -m bench.demo

lint: env
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 src

format: env
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

test: env lint
	$(BIN)/pytest

bench: env
	$(BIN)/python -m bench.policy
