#!/bin/sh
# Builds the stand-ins and clients of the scripts under review/11 to review/15 into target/.
set -e
cd "$(dirname "$0")/.."
go build -o target/loft3 ./review/loft3
