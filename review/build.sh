#!/bin/bash
# Builds the stand-ins that the cases start. It needs no network, and runs after the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOTOOLCHAIN=local GOFLAGS=-mod=mod GOPROXY=off go build -o ../bin/standin .
