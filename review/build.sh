#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Needs only Go and no
# network: the stand-ins use the standard library.
set -euo pipefail
cd "$(dirname "$0")"
go build -o bin/standin ./standin
