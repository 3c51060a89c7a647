# Two commands do all the set-up: `make demo` and `make test`.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/installed

.PHONY: demo test bench mutations soak clean

demo: $(STAMP)
	$(BIN)/guavabarrow demo

test: $(STAMP)
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/mypy
	$(BIN)/python -m pytest

bench: $(STAMP)
	$(BIN)/python benchmarks/path.py

mutations: $(STAMP)
	PYTHONPATH=tests $(BIN)/python -m mutations

# For example: make soak SOAK="--seed 7 --runs 5"
soak: $(STAMP)
	PYTHONPATH=tests $(BIN)/python -m soak $(SOAK)

$(STAMP): constraints.txt packages/*/pyproject.toml platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	# Built in isolation where there is no wheel for the machine, as on arm64.
	$(BIN)/python -m pip install --quiet --constraint constraints.txt \
		hdrhistogram poetry-core
	$(BIN)/python -m pip install --quiet --constraint constraints.txt --no-build-isolation \
		--editable packages/guavabarrow-core \
		--editable packages/guavabarrow-daemon \
		--editable "platform[commands]" \
		--editable "packages/guavabarrow-cli[plots]"
	$(BIN)/python -m pip install --quiet --constraint constraints.txt \
		hypothesis mypy pytest pytest-bdd ruff
	touch $(STAMP)

clean:
	rm -rf $(VENV) .pytest_cache .mypy_cache .ruff_cache
