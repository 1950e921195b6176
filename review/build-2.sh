#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start beside the product: their stand-ins are Python
# (3.9 or later, standard library only), so this only checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
for file in common-2/*.py [6-9]/*.py 10/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
