# The commands a newcomer needs; CMake does the work underneath.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: build test demo bench lint format

build:
	@scripts/install-deps
	@cmake -S . -B $(BUILD) -G Ninja -Wno-dev >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

test: build
	@cd $(BUILD) && ctest --output-on-failure -j 4

demo: build
	@scripts/demo $(BUILD)

bench: build
	@scripts/bench $(BUILD)

lint: build
	@scripts/lint $(BUILD)

format:
	@git ls-files -co --exclude-standard '*.cc' '*.h' | grep -v '\.capnp\.' | xargs clang-format-19 -i
