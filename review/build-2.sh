#!/bin/sh
# Builds the stand-ins of the cases review/6 to review/10 into review/_bed/bin. Run the build of the deploy file before it.
set -e
cd "$(dirname "$0")/_bed"
mkdir -p bin
go build -o bin/bed .
