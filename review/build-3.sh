#!/bin/bash
# Checks that the stand-ins of the third review compile; they are Python files
# that use the standard library and the packages of the deploy file's build.
cd "$(dirname "$0")/.." || exit 2
for file in review/lib3/*.py review/1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" ||
        exit 1
done
