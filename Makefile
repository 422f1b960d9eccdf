VENV ?= .venv
DAEMON_VENV ?= .venv-daemon
DEPLOYMENT ?= skala
SEED ?= 1
RUNS ?= 100
PYTHON := $(VENV)/bin/python
SOURCES := packages platform tests features tools
PACKAGES := packages/core packages/node packages/cli packages/bench
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(foreach package,$(PACKAGES),$(abspath $(package))/src)):$(abspath platform)

.PHONY: setup lint format types test demo fleet bench soak process-soak replay clean

setup: $(VENV)/.ready $(DAEMON_VENV)/.ready

$(VENV)/.ready: requirements.txt
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --require-hashes -r requirements.txt
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation $(foreach package,$(PACKAGES),-e $(package))
	touch $@

# The daemon's environment omits cyclopts, which depends on rich. structlog imports rich if
# it is installed, which adds 5 MB to a daemon that is limited to 32 MB of memory.
$(DAEMON_VENV)/.ready: requirements-daemon.txt
	python3 -m venv $(DAEMON_VENV)
	$(DAEMON_VENV)/bin/python -m pip install --quiet --disable-pip-version-check --require-hashes -r requirements-daemon.txt
	touch $@

lint: setup
	$(VENV)/bin/ruff format --check $(SOURCES)
	$(VENV)/bin/ruff check $(SOURCES)

format: setup
	$(VENV)/bin/ruff format $(SOURCES)
	$(VENV)/bin/ruff check --fix $(SOURCES)

types: setup
	$(VENV)/bin/mypy

test: setup
	$(PYTHON) tests/run.py

demo: setup
	@$(PYTHON) -m marigoldpath_bench.demo --deployment $(DEPLOYMENT) --seed $(SEED) --daemon-python $(DAEMON_VENV)/bin/python

# Runs the platform and worker fakes and the daemons of a deployment until Ctrl-C.
fleet: setup
	@$(PYTHON) -m marigoldpath_bench.fleet --deployment $(DEPLOYMENT) --daemon-python $(DAEMON_VENV)/bin/python

bench: setup
	@$(PYTHON) -m marigoldpath_bench.benchmarks --seed $(SEED) --daemon-python $(DAEMON_VENV)/bin/python

# TRACE is a file that a daemon wrote to observability.trace_path.
replay: setup
	@$(PYTHON) -m marigoldpath_bench.replay $(TRACE)

soak: setup
	@$(PYTHON) -m marigoldpath_bench.soak --search fleet --seed $(SEED) --runs $(RUNS)
	@$(PYTHON) -m marigoldpath_bench.soak --search zone --seed $(SEED) --runs $(RUNS)

# Runs the real processes of a fleet and injects faults; a run takes about 40 s.
process-soak: setup
	@$(PYTHON) -m marigoldpath_bench.process_soak --seed $(SEED) --runs $(RUNS)

clean:
	rm -rf build run
