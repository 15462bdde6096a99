# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The metrics of an owner, for Prometheus."""

import prometheus_client

APPENDS = prometheus_client.Counter(
    'portwharf_owner_appends',
    'Appends to the shard log, those that stalled among them.',
)
PLACEMENTS = prometheus_client.Counter(
    'portwharf_owner_placements', 'Tasks that were given a VM.'
)
GIVEN_UP = prometheus_client.Counter(
    'portwharf_owner_given_up',
    'Tasks that were given up, as they crash the workers that start them.',
)
HUNG_MOVES = prometheus_client.Counter(
    'portwharf_owner_hung_moves',
    'Attempts that were stopped to run elsewhere, as they made no progress.',
)
EARLY_MOVES = prometheus_client.Counter(
    'portwharf_owner_early_moves',
    'Stalled tasks that got a better VM before waiting tasks did.',
)
UNEVEN_ASSESSMENTS = prometheus_client.Counter(
    'portwharf_owner_uneven_assessments',
    'Assessments, one a second, by which a pool was uneven.',
    ['pool'],
)
DROPPED_CALLS = prometheus_client.Counter(
    'portwharf_owner_dropped_calls',
    'Calls that were not begun, as their callers had stopped waiting.',
)
REFUSED_CALLS = prometheus_client.Counter(
    'portwharf_owner_refused_calls',
    'Calls that were refused at once, as a pass would outlast their callers.',
)
REFUSED_JOBS = prometheus_client.Counter(
    'portwharf_owner_refused_jobs',
    'Jobs that were refused, as they could not end in time, run or be kept.',
    ['reason'],
)
JOB_BYTES = prometheus_client.Gauge(
    'portwharf_owner_job_bytes',
    'Estimated memory of accepted jobs in each process that reads the log.',
)
HELD_BACK_JOBS = prometheus_client.Gauge(
    'portwharf_owner_held_back_jobs',
    'Recurring jobs with occurrences that are due and wait for others.',
)
CLASS_BACKLOG = prometheus_client.Gauge(
    'portwharf_owner_class_backlog_cpu_seconds',
    'Work left of a short capacity class, when it was last computed.',
    ['pool', 'fills'],
)
CLASS_RATE = prometheus_client.Gauge(
    'portwharf_owner_class_rate_processors',
    'Processors at work for a capacity class that lacks capacity.',
    ['pool', 'fills'],
)
CALL_SECONDS = prometheus_client.Histogram(
    'portwharf_owner_call_seconds',
    'Time from the receipt of a queued call to its answer.',
    buckets=(0.01, 0.03, 0.1, 0.3, 0.6, 1.0, 2.0, 4.0, 8.0),
)
REJECTED_CONFIGURATIONS = prometheus_client.Counter(
    'portwharf_config_rejected',
    'Readings of a configuration that is not valid, so the last one holds.',
)
CLOSED_ZONES = prometheus_client.Gauge(
    'portwharf_closed_zones',
    'Availability zones that an operator has closed to new starts.',
)
SUSPECTS = prometheus_client.Gauge(
    'portwharf_owner_suspects',
    'Tasks that workers crashed under, and that are not cleared.',
)
PASS_SECONDS = prometheus_client.Histogram(
    'portwharf_owner_pass_seconds',
    'Time that passes of the deciding thread spend on each part.',
    ['part'],
    buckets=(0.001, 0.004, 0.016, 0.064, 0.25, 1.0, 4.0),
)


def set_class_loads(loads):
    """Set the gauges of the classes that lack capacity, and drop all others.

    :param loads: list of ``shard_load.ClassLoad``
    """
    CLASS_RATE.clear()
    CLASS_BACKLOG.clear()
    for load in loads:
        names = (load.capacity_class.pool, load.capacity_class.fills)
        CLASS_RATE.labels(*names).set(load.rate / 1000)
        if load.left is not None:
            CLASS_BACKLOG.labels(*names).set(load.left / 1e6)
