#!/bin/sh
# Builds the program that plays the scripts of cases 6 to 10, with its stand-ins, into target/review-2/.
# It needs the standard library only. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./review/lab2
