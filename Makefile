# Targets to build, test, lint and run, with the commands that CI uses. The build needs a C
# compiler.

.PHONY: build test lint run fuzz sites

build:
	$(shell sed -n 's/^build = "\(.*\)".*/\1/p' deploy/balancer.toml)

test:
	$(shell sed -n 's/^    \(go test .*\)$$/\1/p' README.md)

# Only tests call internal/golden and internal/testcert, so deadcode's findings there are ignored.
lint:
	@unformatted=$$(gofmt -l .); if [ -n "$$unformatted" ]; then echo "not formatted with gofmt: $$unformatted" >&2; exit 1; fi
	go vet ./...
	go tool staticcheck ./...
	go tool -modfile=tools/go.mod golangci-lint run ./...
	@found=$$(go tool -modfile=tools/go.mod deadcode ./...) || exit 1; \
	unused=$$(echo "$$found" | grep -v "^internal/\(golden\|testcert\)/" || true); \
	if [ -n "$$unused" ]; then echo "unused functions: $$unused" >&2; exit 1; fi

run: build
	LB_CONFIG=deploy/sample.json bin/wheelrill

fuzz:
	go test -fuzz=FuzzStream -fuzztime=30s ./controller
	go test -fuzz=FuzzFrames -fuzztime=30s ./internal/simwire

# Copies files from the kit that the bench reads together with a site file. Git ignores the copies;
# neither the build nor the tests need them.
KIT ?= ../given/kit
sites:
	@test -d $(KIT)/sites || { echo "$(KIT) has no folder sites: set KIT to the folder of the kit" >&2; exit 1; }
	@for file in real.json wire.json unlock.txt; do cp -f $(KIT)/sites/$$file deploy/sites/$$file || exit 1; done
