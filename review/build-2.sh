#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. It needs no network: they use the standard library only.
set -eu
cd "$(dirname "$0")/.."
go build -o target/ ./review/stand2
