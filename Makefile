.PHONY: test fmt

test:
	go test -race -timeout 300s ./...

fmt:
	go tool gofumpt -w cmd internal test
