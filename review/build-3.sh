#!/bin/sh
# The stand-ins of cases 11 to 13 are Python (standard library, 3.11 or later) and need no build.
exec python3 -c 'import asyncio, tomllib'
