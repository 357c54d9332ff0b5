# Everything a newcomer needs: `make demo` and `make test`.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test bench format lint types unit lock clean

demo: $(STAMP)
	$(BIN)/shallotworks demo

test: lint types unit

lint: $(STAMP)
	$(BIN)/black --check --quiet src tests bench soak
	$(BIN)/ruff check --quiet src tests bench soak

types: $(STAMP)
	$(BIN)/mypy

unit: $(STAMP)
	$(BIN)/python -W error::ResourceWarning -m tests

bench: $(STAMP)
	$(BIN)/python -m bench

format: $(STAMP)
	$(BIN)/black --quiet src tests bench soak
	$(BIN)/ruff check --quiet --fix src tests bench soak

# The locks name versions and hashes only, so that it holds for every index.
lock: $(STAMP)
	$(BIN)/pip-compile --quiet --extra dev --generate-hashes --allow-unsafe --strip-extras \
		--no-emit-index-url --no-emit-find-links --no-header \
		--output-file requirements.lock pyproject.toml
	$(BIN)/pip-compile --quiet --generate-hashes --allow-unsafe --strip-extras \
		--no-emit-index-url --no-emit-find-links --no-header \
		--output-file requirements-run.lock pyproject.toml

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

clean:
	rm -rf $(VENV) build dist src/*.egg-info
