#!/bin/sh
# Builds the stand-ins that the cases start, after the build of the deploy file. It needs no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/cases
