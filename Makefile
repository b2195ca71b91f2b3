.PHONY: build test lint fuzz run demo sites

build:
	mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

test:
	go test ./...

lint:
	test -z "$$(gofmt -l .)"
	go vet ./...

fuzz:
	go test ./internal/protocol -run '^$$' -fuzz FuzzClient -fuzztime 20s
	go test ./internal/protocol -run '^$$' -fuzz FuzzServer -fuzztime 20s
	go test ./lab/load -run '^$$' -fuzz FuzzReadTrace -fuzztime 20s
	go test ./internal/discovery -run '^$$' -fuzz FuzzDecode -fuzztime 20s

run: build
	bin/hatchproxy serve --config examples/config.json

demo:
	go run ./cmd/hatchlab demo

# The bench wants its own files beside a site file; they stay out of the repository.
KIT ?= ../given/kit/more/mass/other
sites:
	cp $(KIT)/real.json $(KIT)/wire.json $(KIT)/unlock.txt deploy/sites/
