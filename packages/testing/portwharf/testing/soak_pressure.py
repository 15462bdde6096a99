# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Models how filling tasks slow the server tasks of a soak runner.

The tail latency of a server task grows with the processors that filling
tasks on the same runner use, and these with the pace set for each task.
"""

import math

TARGET_MS = 20
FULL_PACE_PERCENT = 100
# Processors of a filling task at full pace, in thousandths.
FILL_CPU_MILLI = 500
# Tail latency without filling tasks, and the growth of its logarithm with
# their share of the processors.
_BASE_TAIL_MS = 8
_TAIL_GROWTH = 24.0
_RUNNER_CPU_MILLI = 4000


def get_cpu_milli(percent):
    """Return the processors that a filling task uses, in thousandths.

    :param percent: its pace
    """
    return FILL_CPU_MILLI * percent // FULL_PACE_PERCENT


def get_tail_ms(paces):
    """Return the tail latency of a server task, in ms.

    :param paces: list of the paces of filling tasks, in percent
    """
    cpu_share = (
        sum(get_cpu_milli(percent) for percent in paces) / _RUNNER_CPU_MILLI
    )
    return int(_BASE_TAIL_MS * math.exp(_TAIL_GROWTH * cpu_share))
