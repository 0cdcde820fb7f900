.PHONY: build demo test race lint fmt generate

build:
	go build -o bin/ ./cmd/...

demo:
	go run ./cmd/kumquatd --embedded examples/peachtree

test:
	go test -race -count=1 -p 4 -timeout 20m ./...

# Integration tests whose daemons are built with the race detector, too.
race:
	KUMQUAT_RACE=1 GORACE=halt_on_error=1 go test -count=1 -p 1 -timeout 10m \
		-run 'TestPromisesHoldUnderMixedFaults|TestOperatorsRace|TestDataCentreOutAndIn' \
		./internal/integration/urgent ./internal/integration/operating

lint:
	golangci-lint run ./...

fmt:
	golangci-lint fmt ./...

generate:
	buf generate
	go generate ./...
