#!/bin/sh
# Builds the stand-ins that the cases start: clients, servers, discovery and the platform, all in
# one program. It needs the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
CGO_ENABLED=0 go build -o review/bin/ ./review/standin
