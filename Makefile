VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: setup test lint check

setup: $(BIN)/ruff

$(BIN)/ruff: pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -e '.[dev]'
	touch $(BIN)/ruff

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/mypy

check: lint test
