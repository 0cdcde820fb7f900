.PHONY: build test lint fmt generate

build:
	go build -o bin/ ./cmd/...

test:
	go test -race -count=1 ./...

lint:
	golangci-lint run ./...

fmt:
	golangci-lint fmt ./...

generate:
	buf generate
	go generate ./...
