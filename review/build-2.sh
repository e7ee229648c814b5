#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. All of them are Python on its
# standard library and lie in this folder, but for the path of case 6, which is the project's own proxy
# (hoplane/lab/partition.py). So there is nothing to install.
cd "$(dirname "$0")/.." && .venv/bin/python -m compileall -q hoplane/lab review/second.py review/6 review/7 review/8 review/9 review/10
