# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The Prometheus metrics of a side."""

import prometheus_client

THROTTLE_COMMANDS = prometheus_client.Counter(
    'portwharf_side_paces',
    'Orders to work at a share, by whether the worker took them.',
    ['outcome'],
)
UNKNOWN_ATTEMPTS = prometheus_client.Gauge(
    'portwharf_side_strangers',
    'Running attempts that this side knows nothing of.',
)
POLLS_OVER_TARGET = prometheus_client.Counter(
    'portwharf_side_over_target_polls',
    'Polls at which a serving task was over its target.',
)
FILLING_MILLI = prometheus_client.Gauge(
    'portwharf_side_filling_milli',
    'Processors of the filling tasks, in thousandths: asked for, and used.',
    ['amount'],
)
LEAST_SHARE_ATTEMPTS = prometheus_client.Gauge(
    'portwharf_side_least_share_attempts',
    'Filling attempts that run at the least share or are suspended.',
)
CRASHES = prometheus_client.Counter(
    'portwharf_side_worker_crashes',
    'Crashes of the worker that this side has seen.',
)
