#!/bin/bash
# Builds the stand-ins of the second review. It needs no network and nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/second/bin
go build -o review/second/bin/second ./review/second
