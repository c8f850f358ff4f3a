#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start beside the daemon. The stand-ins are Python
# programs of the standard library, so this only checks that the interpreter is there and reads them.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-3/*.py 1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -I -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
python3 -I -c 'import sys; assert sys.version_info >= (3, 8), "Python 3.8 or later is needed"'
