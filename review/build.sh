#!/bin/sh
# Builds the stand-ins of the cases. They are Python programs of this folder, so this only checks that they
# can run; the balancer is built by the command of deploy/balancer.toml.
cd "$(dirname "$0")" || exit 2
exec python3 -c '
import sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for path in ["stand_ins.py", *sys.argv[1:]]:
    compile(open(path).read(), path, "exec")
' */run.py
