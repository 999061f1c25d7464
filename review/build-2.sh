#!/bin/sh
# Builds what the cases 6 and later start besides the build of the deploy file. Their stand-ins are programs for the
# Python interpreter and its standard library, which need no build; so this only checks that they can run.
set -e
cd "$(dirname "$0")/.."
for file in review/common_2.py review/[6-9]/case.py review/10/case.py; do
    test ! -e "$file" || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
test -x target/release/doorproxy || cargo build --release --offline
