#!/bin/sh
# Builds the stand-ins that the cases 9 to 13 start: plain Python, compiled to
# find what does not compile. The project's programs come from the build of
# the deploy file. The stand-ins of the project's own are not used.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins_3
for folder in 9 10 11 12 13; do
    if [ -f "$folder/case.py" ]; then
        python3 -m compileall -q "$folder"
    fi
done
