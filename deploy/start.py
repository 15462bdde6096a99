# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Starts a role from a checkout, without installing the packages."""

import pathlib
import sys

_PACKAGES = pathlib.Path(__file__).resolve().parent.parent / 'packages'

sys.path[:0] = [
    str(path.parent) for path in sorted(_PACKAGES.glob('*/portwharf'))
]

if __name__ == '__main__':
    from portwharf.platform import programs

    programs.main(sys.argv[1])
