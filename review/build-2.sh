#!/bin/sh
# Builds the stand-ins of the second review, which need nothing but Go's standard library, into bin/.
set -eu
cd "$(dirname "$0")/stand-ins-2"
mkdir -p ../../bin
exec go build -o ../../bin/review-2 .
