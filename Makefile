# Targets of the checks named in the README. Tools are installed outside the go.mod, in .tools.
LINT_VERSION := v2.15.0
TOOLS := $(CURDIR)/.tools
LINT := $(TOOLS)/golangci-lint-$(LINT_VERSION)
PACKAGES := ./...
# Packages whose tests bound the time and memory of whole programs. They run one at a time.
TIMED := ./platform ./platform/soak

.PHONY: check format lint build vet test generate

check: format lint build vet test

$(LINT):
	mkdir -p $(TOOLS)
	GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)
	mv $(TOOLS)/golangci-lint $(LINT)

format: $(LINT)
	$(LINT) fmt --diff $(PACKAGES)

lint: $(LINT)
	$(LINT) run --allow-parallel-runners $(PACKAGES)

build:
	go build $(PACKAGES)

vet:
	go vet $(PACKAGES)

test:
	go test -race -timeout 20m $$(go list $(PACKAGES) | grep -vxF "$$(go list $(TIMED))")
	go test -race -p 1 -timeout 20m $(TIMED)

# Regenerates the committed protobuf code. Requires buf and both protoc plugins on PATH.
generate:
	buf generate
