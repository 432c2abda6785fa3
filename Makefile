GO ?= go
LINTER = github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
SEED ?= 1
CHECKS ?= 200
KNOWN_RED = $(shell sed -n "s/^test: \([A-Za-z0-9_]*\)$$/\1/p" KNOWN-RED.txt 2>/dev/null | paste -sd "|")
SKIPPED = $(if $(KNOWN_RED),^($(KNOWN_RED))$$)
# The tests whose crowds of clients run apart from other load, one at a time.
CROWDS = ^TestCrowd
CROWD_PACKAGES = ./platform ./cmd/rosemarywind
RUN_TESTS = ROSEMARYWIND_SEED=$(SEED) ROSEMARYWIND_CHECKS=$(CHECKS) $(GO) test -race -shuffle=1 -count=1

.PHONY: build lint test bench fuzz fmt soak

build:
	CGO_ENABLED=1 $(GO) build -tags netcgo -o bin/ ./cmd/rosemarywind ./cmd/standin

fmt:
	$(GO) run $(LINTER) fmt

lint:
	$(GO) vet ./...
	$(GO) run $(LINTER) run
	$(GO) run $(LINTER) fmt --diff

test: build lint
	@[ ! -s KNOWN-RED.txt ] || { echo "known failures that this run passes over:"; cat KNOWN-RED.txt; }
	$(RUN_TESTS) -skip '$(if $(SKIPPED),$(SKIPPED)|)$(CROWDS)' ./...
	$(RUN_TESTS) -p 1 -timeout 20m -run '$(CROWDS)' $(if $(SKIPPED),-skip '$(SKIPPED)') $(CROWD_PACKAGES)

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

fuzz:
	@seed=$${SEED:-$$(date +%s)}; echo "seed $$seed"; \
	ROSEMARYWIND_SEED=$$seed ROSEMARYWIND_CHECKS=20000 $(GO) test -count=1 -timeout 60m ./...

soak:
	@first=$${SEED:-$$(date +%s)}; last=$$((first + $${SEEDS:-20} - 1)); echo "seeds $$first to $$last"; \
	ROSEMARYWIND_SOAK_SEEDS=$$first-$$last ROSEMARYWIND_SOAK_SECONDS=$${SECONDS_EACH:-20} $(GO) test -count=1 -timeout 60m -run TestSoak -v ./platform
