#!/usr/bin/env bash
# Builds the program that runs the script cases, with its stand-ins, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/ ./review/cmd/reviewcase
