# Thin front of the CMake build.
BUILD ?= build
SEED ?= 1
STEPS ?= 24
SECONDS ?= 8
JOBS ?= $(shell nproc)
PYTHON ?= /usr/bin/python3
SOURCES = $(shell git ls-files '*.c' '*.h' | grep -v generated)

.PHONY: all deps build generate check-generated format check-format lint \
	unit functional check-model test test-faults soak check-mutants sanitize fuzz bench bench-quick bench-fleet demo clean

all: build

deps:
	tools/install-deps.sh

build:
	cmake -S . -B $(BUILD) >/dev/null
	cmake --build $(BUILD) -j $(JOBS) -- --no-print-directory

generate:
	$(PYTHON) gen/generate.py schema src/generated docs/reference.md
	$(PYTHON) gen/generate.py --adapter platform/schema platform/generated
	clang-format -i src/generated/*.c src/generated/*.h platform/generated/*.c platform/generated/*.h

# Fails where the committed code differs from what the schema gives.
check-generated:
	rm -rf $(BUILD)/generated
	$(PYTHON) gen/generate.py schema $(BUILD)/generated $(BUILD)/reference.md
	$(PYTHON) gen/generate.py --adapter platform/schema $(BUILD)/generated/platform
	cp .clang-format $(BUILD)/
	find $(BUILD)/generated -name '*.[ch]' -exec clang-format -i {} +
	diff -r $(BUILD)/generated/platform platform/generated
	rm -rf $(BUILD)/generated/platform
	diff -r $(BUILD)/generated src/generated
	diff $(BUILD)/reference.md docs/reference.md

format:
	clang-format -i $(SOURCES)

check-format:
	clang-format --dry-run -Werror $(SOURCES)

lint: build
	printf '%s\n' $(filter src/%.c platform/%.c,$(SOURCES)) | \
		xargs -P $(JOBS) -n 4 clang-tidy -p $(BUILD) --quiet 2>/dev/null

unit: build
	ctest --test-dir $(BUILD) --output-on-failure -R '^unit/'

functional: build
	ctest --test-dir $(BUILD) --output-on-failure -R '^functional/'

check-model:
	model/check.sh

# Everything that a change must pass.
test: deps
	$(MAKE) build check-generated check-format
	$(MAKE) lint
	$(MAKE) check-model
	tools/run-tests.sh $(BUILD)

# Seeded faults together: make test-faults SEED=7 STEPS=50
test-faults: build
	JT_BUILD=$(BUILD) JT_SEED=$(SEED) JT_STEPS=$(STEPS) \
		$(BUILD)/functional_test_schedule

# Faults from outside on the processes of nodes: make soak SEED=7 SECONDS=20
soak: build
	JT_BUILD=$(BUILD) $(BUILD)/soak --seed $(SEED) --seconds $(SECONDS)

# Takes one guard away at a time; a test must fail without it.
check-mutants:
	tools/mutants.sh

sanitize:
	tools/sanitize.sh $(BUILD)

fuzz:
	tools/fuzz.sh $(BUILD)

# Minutes; prints one table, writes CSV and a plot to bench/out.
bench: build
	$(PYTHON) bench/run.py $(BUILD) bench/out

bench-quick: build
	$(PYTHON) bench/run.py $(BUILD) bench/out --quick

# Goodput of a fleet on a virtual clock, in minutes; plots in docs/plots.
bench-fleet: build
	$(PYTHON) bench/fleet.py $(BUILD) bench/out docs/plots

demo: deps
	$(MAKE) build
	tools/demo.sh $(BUILD)

clean:
	rm -rf build build-*
