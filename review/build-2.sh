#!/usr/bin/env bash
# Prepares what the scripts of the second review start: gateways, with the build command
# of the deploy file, and stand-ins in Python, which need the same libraries and no more.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(python3 -c 'import tomllib
print(tomllib.load(open("deploy/system.toml", "rb"))["build"])')
bash -c "$build"
cd review
PYTHONPATH=../target/deps python3 -B -c 'import rig
print("stand-ins load")'
