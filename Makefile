GO ?= go
BIN := bin

.PHONY: build generate test lint bench fmt

build:
	$(GO) build -trimpath -o $(BIN)/crocuscross ./cmd/crocuscross
	$(GO) build -trimpath -o $(BIN)/standin ./cmd/standin

generate:
	$(GO) generate ./...

test:
	$(GO) test ./...

lint:
	@test -z "$$(gofmt -l . | tee /dev/stderr)"
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

fmt:
	gofmt -w .
