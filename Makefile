DEPLOYMENT ?= skogvottun
SEEDS ?= 50
PYTHON ?= python3.11
BIN := .venv/bin

.PHONY: demo test soak soak-faults prove bench format venv

venv: .venv/.installed

.venv/.installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv .venv || python3 -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check \
		-c constraints.txt -e '.[bench,test]'
	touch $@

demo: venv
	$(BIN)/python -m examples.demo --deployment=$(DEPLOYMENT)

test: venv
	BIN=$(BIN) bin/check

soak: venv
	HYPOTHESIS_PROFILE=soak $(BIN)/python -m pytest

soak-faults: venv
	$(BIN)/python -m tests.soak.main --seeds=$(SEEDS) --keep_logs=target/soak

prove: venv
	$(BIN)/python bin/prove_needed.py

bench: venv
	$(BIN)/python -m bench.path
	$(BIN)/python -m bench.decisions
	$(BIN)/python -m bench.capacity
	$(BIN)/ebonypick-bench

format: venv
	$(BIN)/ruff format ebonypick standins examples bench tests bin
