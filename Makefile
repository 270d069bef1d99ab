# VENV may name an environment that is shared between work trees.
VENV ?= .venv
PYTHON = $(VENV)/bin/python
export PYTHONPATH = $(CURDIR)

.PHONY: demo test lint format generate check-generated bench sweep soak

$(VENV)/installed: pyproject.toml constraints.txt
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $(VENV)/installed

demo: $(VENV)/installed
	$(PYTHON) -m hibiscustiller demo

test: $(VENV)/installed
	$(PYTHON) tools/run_tests.py

lint: $(VENV)/installed
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .

format: $(VENV)/installed
	$(PYTHON) -m ruff check --fix .
	$(PYTHON) -m ruff format .

generate: $(VENV)/installed
	$(PYTHON) tools/generate.py

check-generated: $(VENV)/installed
	$(PYTHON) tools/generate.py --check

bench: $(VENV)/installed
	$(PYTHON) benchmarks/run_all.py

# Randomised fault runs over many seeds; make sweep SEEDS=100
SEEDS ?= 20
sweep: $(VENV)/installed
	$(PYTHON) tools/sweep_faults.py --seeds $(SEEDS)

# The daemons as processes behind proxies, under faults; make soak SEEDS=50 FIRST=1000
FIRST ?= 1
soak: $(VENV)/installed
	$(PYTHON) tools/soak.py --first-seed $(FIRST) --seeds $(SEEDS)
