#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: compiles their Python modules. They need
# nothing but Python 3.11, its standard library and the build of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q standins-2
