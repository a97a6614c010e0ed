# One entry point for every task; each target does its own set-up in VENV.
VENV ?= .venv
PYTHON ?= python3
PY := $(VENV)/bin/python
SOURCES := packages platform tools bench
export PYTHONPATH := $(CURDIR)/packages/wire/src:$(CURDIR)/packages/router/src:$(CURDIR)/packages/ctl/src:$(CURDIR)/packages/standins/src:$(CURDIR)/packages/fleet/src:$(CURDIR)/platform/src:$(CURDIR)/platform/soak:$(CURDIR)
export PYTHONDONTWRITEBYTECODE := 1
export PYTHONHASHSEED := 0
MYPY_FLAGS := $(if $(VENV_READY),--cache-dir=/dev/null)
export RUFF_NO_CACHE := $(if $(VENV_READY),true,false)

.PHONY: soak docs fleet venv format lint types unit test demo bench bench-quick thrift

# VENV_READY=1 takes the environment as it is, for a second worktree
venv: $(if $(VENV_READY),,$(VENV)/.stamp)

$(VENV)/.stamp: constraints.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	test -x $(PY) || $(PYTHON) -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check --constraint constraints.txt setuptools wheel
	$(PY) -m pip install --quiet --disable-pip-version-check --constraint constraints.txt --no-build-isolation \
	    -e packages/wire -e packages/fleet -e packages/router -e packages/ctl -e packages/standins -e platform
	touch $@

format: venv
	$(PY) -m ruff format $(SOURCES)
	$(PY) -m ruff check --fix $(SOURCES)

lint: venv
	$(PY) -m ruff format --check $(SOURCES)
	$(PY) -m ruff check $(SOURCES)

types: venv
	$(PY) -m mypy $(MYPY_FLAGS)

unit: venv
	$(PY) tools/run_tests.py $(TESTS)

test: lint types unit

demo: venv
	$(PY) -m teaselledge_standins.demo

# a fleet of separate processes on loopback, until interrupted
fleet: venv
	@pids=; trap 'kill $$pids 2>/dev/null; wait' EXIT INT TERM; \
	start() { $(PY) -m "$$@" & pids="$$pids $$!"; }; \
	start teaselledge_standins.platformserver --port=7000 --vms=examples/local/vms.yaml; \
	start teaselledge_standins.engine --engine_port=7101; \
	start teaselledge_standins.engine --engine_port=7102; \
	start teaselledge_standins.plain --plain_port=7201; \
	sleep 1; \
	for router in r1 r2 r3; do start teaselledge.process.main --settings examples/local/$$router.yaml; done; \
	wait

# the pages that are generated from tables in the code
docs: venv
	$(PY) tools/make_docs.py

bench: venv
	$(PY) -m bench

bench-quick: venv
	$(PY) -m bench --quick $(if $(ONLY),--only=$(ONLY))

# needed only after a change of the interface file
thrift:
	for file in router fleet; do thrift -r --gen py:slots,package_prefix=teaselledge_wire.gen. -out packages/wire/src/teaselledge_wire/gen packages/wire/$$file.thrift; done

# make soak: some runs with fresh seeds; SEED=n repeats one
soak: venv
	$(PY) -m teaselledge_soak.main $(if $(SEED),--seed=$(SEED),--runs=$(or $(RUNS),5)) --keep=$(or $(KEEP),target/soak)
