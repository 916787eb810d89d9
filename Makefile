# Targets: demo, test, prove, bench, build, generate.
GO ?= go
BIN := bin

.PHONY: all build generate fmt-check vet lint unit integration fuzz test demo prove bench

all: build

build:
	$(GO) build -o $(BIN)/ ./cmd/...

generate:
	$(GO) tool goa gen github.com/coltsfootbay/coltsfootbay/design

fmt-check:
	@files=$$(gofmt -l $$(git ls-files '*.go' | grep -v '^gen/')); \
	if [ -n "$$files" ]; then echo "not formatted: $$files"; exit 1; fi

vet:
	$(GO) vet ./...

lint:
	$(GO) tool staticcheck $$($(GO) list ./... | grep -v '/gen/')

unit:
	$(GO) test -count=1 $$($(GO) list ./... | grep -v '/integration$$')

test: fmt-check vet lint build unit

demo: build
	$(BIN)/demo --bin $(BIN)
