# Front end to CMake and the scripts in tools/. Every target works on a fresh
# Debian 12.

BUILD ?= build
SANITIZED ?= build-sanitize
FUZZ ?= build-fuzz
JOBS ?= $(shell nproc)

.PHONY: all build deps format format-check lint unit functional sanitize fuzz \
	soak check demo bench slopes mutants clean

all: build

deps:
	@./tools/install-deps

build:
	@cmake -S . -B $(BUILD) >/dev/null
	@cmake --build $(BUILD) -j $(JOBS) >$(BUILD)/build.log 2>&1 || \
		{ cat $(BUILD)/build.log; exit 1; }

format:
	@./tools/sources | xargs clang-format -i

format-check:
	@./tools/sources | xargs clang-format --dry-run -Werror
	@echo "format: clean"

lint: build
	@./tools/lint $(BUILD)

unit: build
	@./tools/run-tests $(BUILD) unit

functional: build
	@./tools/run-tests $(BUILD) functional

sanitize:
	@cmake -S . -B $(SANITIZED) -DIBISFIELD_SANITIZE=ON >/dev/null
	@cmake --build $(SANITIZED) -j $(JOBS) >/dev/null
	@./tools/run-tests $(SANITIZED) unit
	@# No leak detection: nng's threads still hold memory at process exit.
	@ASAN_OPTIONS=detect_leaks=0 ./tools/run-tests $(SANITIZED) functional

fuzz:
	@CC=clang cmake -S . -B $(FUZZ) -DIBISFIELD_SANITIZE=ON \
		-DIBISFIELD_FUZZ=ON >/dev/null
	@cmake --build $(FUZZ) -j $(JOBS) >/dev/null
	@./tools/run-fuzz $(FUZZ)

soak: build
	@./tools/run-soak $(BUILD) $(SEEDS)

check: deps
	@./tools/check

demo: deps build
	@./tools/demo $(BUILD)

bench: build
	@$(BUILD)/bench/bench_compare

slopes: build
	@$(BUILD)/bench/bench_slopes

mutants:
	@./tools/mutants

clean:
	@rm -rf $(BUILD) $(SANITIZED) $(FUZZ)
