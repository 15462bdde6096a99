# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""How what fills a soak's runner presses on what serves there.

A task that serves has a tail which grows with the processors that filling
tasks on its runner use, and so with the share that they work at.
"""

import math

TARGET_MS = 20
FULL = 100
# A filling task's processors, of the 4000 thousandths of a runner.
FILL_MILLI = 500
# The tail with nothing beside it, and its growth by a share of processors.
_CALM_TAIL_MS = 8
_PRESS = 24.0
_RUNNER_MILLI = 4000


def find_use(percent):
    """Return the processors that a filling task uses, in thousandths."""
    return FILL_MILLI * percent // FULL


def find_tail(fills):
    """Return the tail of a server in ms.

    :param fills: list of the shares, in percent, that filling tasks work at
    """
    share = sum(find_use(percent) for percent in fills) / _RUNNER_MILLI
    return int(_CALM_TAIL_MS * math.exp(_PRESS * share))
