# Builds the programs into build/, and runs all checks.

MAKEFLAGS += --no-print-directory
VARIANT ?= plain
BUILD := build/$(VARIANT)
CC := gcc
PACKAGES := libulfius libcurl json-c glib-2.0 libprotobuf-c libxxhash
# ulfius.h would include jansson.h, whose names clash with json-c. The shared
# libraries have versioned symbols, so both can be loaded.
CPPFLAGS := -Isrc -I. -D_GNU_SOURCE -DU_DISABLE_JANSSON $(shell pkg-config --cflags $(PACKAGES) 2>/dev/null)
SANITIZE_plain := -O2
SANITIZE_platform := -O2
SANITIZE_asan := -O1 -fsanitize=address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer
SANITIZE_tsan := -O1 -fsanitize=thread
CFLAGS := -std=gnu11 -g -Wall -Wextra -Wshadow -Wstrict-prototypes -Wmissing-prototypes -Werror -pthread $(SANITIZE_$(VARIANT))
LDLIBS := $(shell pkg-config --libs $(PACKAGES) 2>/dev/null) -lhttp_parser -lm -pthread

PROGRAMS := turmericd turmericctl standin turmericgate
GENERATED := $(wildcard src/proto/*.pb-c.[ch])
SOURCES := $(shell find src -name '*.c')
HAND := $(filter-out $(GENERATED),$(shell find src platform test bench -name '*.[ch]' 2>/dev/null))
MAINS := $(wildcard src/*/main.c)
PLATFORM := $(wildcard platform/*.c)
PART_standin := $(filter src/standin/%,$(SOURCES))
PART_turmericctl := $(filter src/turmericctl/%,$(SOURCES))
LIB_SOURCES := $(filter-out $(PART_standin) $(PART_turmericctl) $(MAINS),$(SOURCES))
LIB := $(BUILD)/libturmeric.a
OBJECT = $(1:%.c=$(BUILD)/%.o)
TESTS := $(patsubst test/%.c,$(BUILD)/test/%,$(wildcard test/*_test.c))
BENCHES := $(patsubst bench/%.c,$(BUILD)/bench/%,$(wildcard bench/*_bench.c))

.SECONDARY:
.PHONY: all deps check format lint test-programs tests test-asan test-tsan spec run bench proto clean
all: $(PROGRAMS:%=$(BUILD)/%)

deps:
	sh ./deps.sh

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	@echo "CC $(VARIANT) $<"
	@$(CC) $(CPPFLAGS) $(CFLAGS) $(if $(filter %.pb-c.c,$<),-Wno-error) -MMD -c -o $@ $<

$(LIB): $(call OBJECT,$(LIB_SOURCES))
	@rm -f $@
	@ar rcs $@ $^

$(BUILD)/libstandin.a: $(call OBJECT,$(filter-out src/standin/main.c,$(PART_standin)))
	@rm -f $@
	@ar rcs $@ $^

$(BUILD)/turmericd: $(BUILD)/src/turmericd/main.o $(LIB)
	@$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(filter %.a,$^) $(LDLIBS)

$(BUILD)/standin: $(BUILD)/src/standin/main.o $(BUILD)/libstandin.a $(LIB)
	@$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(filter %.a,$^) $(LDLIBS)

$(BUILD)/turmericctl: $(call OBJECT,$(PART_turmericctl)) $(LIB)
	@$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(filter %.a,$^) $(LDLIBS)

$(BUILD)/libplatform.a: $(call OBJECT,$(filter-out platform/main.c,$(PLATFORM)))
	@rm -f $@
	@ar rcs $@ $^

$(BUILD)/turmericgate: $(BUILD)/platform/main.o $(BUILD)/libplatform.a $(LIB)
	@$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(filter %.a,$^) $(LDLIBS)

TEST_HELPERS := $(call OBJECT,$(filter-out %_test.c,$(wildcard test/*.c)))
CLUSTER := $(call OBJECT,$(wildcard test/cluster/*.c))
$(BUILD)/test/system_test $(BUILD)/test/outage_test: $(CLUSTER)
$(BUILD)/test/soak_test: $(call OBJECT,$(wildcard test/soak/*.c))
$(BUILD)/test/%: $(BUILD)/test/%.o $(TEST_HELPERS) $(BUILD)/libstandin.a $(BUILD)/libplatform.a $(LIB)
	@$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(filter %.a,$^) $(LDLIBS)

$(BUILD)/bench/system_bench $(BUILD)/bench/chaos_bench: $(CLUSTER)
$(BUILD)/bench/policy_bench: $(call OBJECT,$(wildcard bench/policy/*.c))
$(BUILD)/bench/%: $(BUILD)/bench/%.o $(BUILD)/bench/sample.o $(BUILD)/libstandin.a $(BUILD)/libplatform.a $(LIB)
	@$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(filter %.a,$^) $(LDLIBS)

# Generated code is committed; run this after a change of peer.proto.
proto:
	cd src/proto && protoc-c --c_out=. peer.proto

format:
	@clang-format --dry-run -Werror $(HAND)

lint:
	@cppcheck --quiet --std=c11 --library=gtk,posix --enable=warning,performance,portability --inline-suppr --suppress=missingInclude --suppress=normalCheckLevelMaxBranches --error-exitcode=1 -Isrc -I. -j 8 $(filter %.c,$(HAND))
	sh ./test/style.sh

test-programs: all $(TESTS)

tests: test-programs
	sh ./test/run.sh $(TESTS)

test-asan:
	$(MAKE) VARIANT=asan tests

test-tsan:
	$(MAKE) VARIANT=tsan tests

spec:
	sh ./spec/check.sh

# The variants are built one after the other and tested side by side, as most
# tests wait for processes.
check: deps
	$(MAKE) format lint
	$(MAKE) -j 8 test-programs $(BENCHES)
	$(MAKE) -j 8 VARIANT=asan test-programs
	$(MAKE) -j 8 VARIANT=tsan test-programs
	JOBS=8 sh ./test/run.sh $(foreach v,asan tsan plain,$(TESTS:$(BUILD)/%=build/$(v)/%))
	$(MAKE) spec

bench: all $(BENCHES)
	sh ./bench/run.sh $(BUILD)

run: deps
	$(MAKE) -j 8 all
	sh ./examples/run.sh $(BUILD)

clean:
	rm -rf build

-include $(shell find build target -name '*.d' 2>/dev/null)
