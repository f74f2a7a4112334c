#!/bin/sh
# Builds the program that the scripts of review/11 to review/15 start, with its stand-ins.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/ ./review/harness3
