# Each target installs what it needs into .venv, so a fresh machine needs
# only Python 3.11, make and the package registry.
PYTHON ?= python3
VENV := .venv
RUN := $(VENV)/bin/python
STAMP := $(VENV)/installed

.PHONY: demo test lint dist soak bench measure slopes

$(STAMP): requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements.txt
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation -e .
	touch $(STAMP)

demo: $(STAMP)
	$(RUN) -m burdocksail demo

test: $(STAMP)
	CI=true $(RUN) -m unittest discover -s src -p "*_test.py" -t src
	CI=true $(RUN) -m unittest discover -s platform -p "*_test.py" -t platform

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

dist: $(STAMP)
	mkdir -p dist
	$(VENV)/bin/shiv --quiet -c burdocksail -o dist/burdocksail -r requirements.txt --no-deps .

SEED ?= 1
STEPS ?= 20000
soak: $(STAMP)
	$(RUN) -m burdocksail.tools.soak --seed $(SEED) --steps $(STEPS)

bench: $(STAMP)
	$(RUN) benchmarks/throughput.py

measure: $(STAMP)
	$(RUN) benchmarks/measures.py

slopes: $(STAMP)
	$(RUN) benchmarks/slopes.py
