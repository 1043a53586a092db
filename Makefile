# All targets except `generate` first create or update the virtual environment, so a fresh
# machine needs no other set-up.
VENV := .venv
PYTHON := $(VENV)/bin/python

.PHONY: test quickstart lint format generate benchmark

$(VENV)/installed: requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --requirement requirements.lock
	$(VENV)/bin/pip install --quiet --no-deps --editable .
	touch $@

lint: $(VENV)/installed
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

test: lint
	$(PYTHON) tools/run_tests.py

format: $(VENV)/installed
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

quickstart: $(VENV)/installed
	bash examples/quickstart.sh

benchmark: $(VENV)/installed
	$(PYTHON) -m benchmarks.deployments --deployment daura-lots --check
	$(PYTHON) -m benchmarks.deployments --deployment rijeka --check

# Requires the Debian package thrift-compiler. The generated code is committed.
generate:
	for file in sedgeswitch/*/*.thrift; do thrift --gen py:slots -out . $$file; done
	rm -f __init__.py sedgeswitch/*/generated/*-remote
