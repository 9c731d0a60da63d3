# Targets for people and for CI. `make help` lists them.

BIN := bin
TOOL := go tool -modfile=tools/go.mod

.PHONY: help build fmt lint test demo bench

help: ## list the targets
	@grep -hE '^[a-z]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*##/ -/'

build: ## build both programs into bin/
	go build -o $(BIN)/ . ./standin

fmt: ## format all Go files
	$(TOOL) gofumpt -w .

lint: ## check format, lint rules, vet and the direction of imports
	@out=$$($(TOOL) gofumpt -l .); if [ -n "$$out" ]; then echo "gofumpt would change:"; echo "$$out"; exit 1; fi
	$(TOOL) revive -config revive.toml -set_exit_status ./...
	go vet ./...
	go run ./internal/tool/layers

test: ## run all tests with the race detector
	go test -race -count=1 ./...

demo: build ## run both example deployments against their recorded traces, and an entry host on the platform
	$(BIN)/standin demo --binaries $(BIN)
	$(BIN)/standin platform --binaries $(BIN) --once

bench: build ## measure the policies and the slopes of docs/CAPACITY.md
	go run ./internal/tool/slopes
	$(BIN)/standin footprint --out docs/footprint.json
	go run ./internal/tool/capacity
	$(BIN)/standin bench
	$(BIN)/standin failures
	go test -run XXX -bench Decisions -benchtime 1x -count=1 ./internal/service/stage
