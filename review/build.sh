#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are scripts for python3 with its standard library alone, so this only checks that they
# can be read; the relay itself is built by the command in deploy/balancer.toml.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile standin.py ./*/play.py
find . -name __pycache__ -prune -exec rm -rf {} +
