# Targets that set up their own virtual environment in $(VENV).
PYTHON ?= python3.11
VENV ?= .venv
PY = $(VENV)/bin/python
STAMP = $(VENV)/.installed

.PHONY: setup test demo lint format proto bench capacity binary golden soak

setup: $(STAMP)

$(STAMP): requirements.txt requirements-dev.txt
	@command -v $(PYTHON) >/dev/null || { echo "error: $(PYTHON) is not on PATH; install Python 3.11 or set PYTHON=/path/to/python3.11"; exit 1; }
	test -x $(PY) || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements-dev.txt
	touch $(STAMP)

test: setup
	$(PY) -m tools.run_tests $(TESTS)

lint: setup
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .

format: setup
	$(VENV)/bin/ruff check --fix .
	$(VENV)/bin/ruff format .

proto: setup
	$(PY) -m grpc_tools.protoc -I . --python_out=. --grpc_python_out=. \
	    monsoontack/proto/link.proto monsoontack/proto/peer.proto

demo: setup
	$(PY) -m demo.main

bench: setup
	$(PY) -m bench.main $(BENCH)

capacity: setup
	$(PY) -m bench.capacity

soak: setup
	$(PY) -m soak.main $(SOAK)

binary: setup
	$(PY) -m tools.build_binary
	$(PY) -m tools.check_binary

golden: setup
	REWRITE_GOLDEN=1 $(PY) -m tools.run_tests golden
