.PHONY: build demo test lint fmt generate

build:
	go build -o bin/ ./cmd/...

demo:
	go run ./cmd/kumquatd --embedded examples/peachtree

test:
	go test -race -count=1 -p 4 -timeout 20m ./...

lint:
	golangci-lint run ./...

fmt:
	golangci-lint fmt ./...

generate:
	buf generate
	go generate ./...
