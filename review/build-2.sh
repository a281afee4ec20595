#!/bin/sh
# Builds the stand-ins of the cases review/6 to review/10, into review/bin/.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
CGO_ENABLED=0 go build -o review/bin/second ./review/second
