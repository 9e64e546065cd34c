#!/bin/sh
# Builds the harness of the cases, with its stand-ins. The programs under test come from the build line of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
CGO_ENABLED=0 go build -o review/bin/ ./review/harness
