# Entry points for users and CI. Pass SEED=n or QUICK=1 to `make measure`.
BUILD ?= build
JOBS ?= 8
SANITIZER ?=

# Lets checkouts in different folders share compiler results.
export CCACHE_BASEDIR := $(CURDIR)
export CCACHE_NOHASHDIR := 1

.PHONY: run test build packages format lint measure golden soak
run: packages build
	tools/run.sh $(BUILD)

test: packages build
	ctest --test-dir $(BUILD) --output-on-failure

packages:
	tools/install-packages.sh

build:
	cmake -S . -B $(BUILD) -G Ninja -DDAMASKHALL_SANITIZER=$(SANITIZER)
	cmake --build $(BUILD) -j $(JOBS)

format:
	git ls-files '*.cpp' '*.h' | xargs -r clang-format -i

lint:
	tools/lint.sh $(BUILD)

measure: build
	$(BUILD)/bin/damaskhall-measure $(if $(SEED),--seed $(SEED)) $(if $(QUICK),--quick)

# SEEDS="1 2 3", SOAK_SECONDS and SOAK_OPTIONS="--series" choose the runs beside the regression seeds.
soak: build
	soak/run.sh $(BUILD)

golden: build
	DAMASKHALL_UPDATE_GOLDEN=1 $(BUILD)/bin/damaskhall-tests --gtest_filter='*Golden*'
