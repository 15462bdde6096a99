# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Reports on the capacity classes of a shard, for ``portwharf status``."""

from portwharf.scheduler import operations

_MILLI_MS_PER_CPU_SECOND = 1e6
# Keeps a sum over jobs of any size within 64 bits.
_MAX_SECONDS = 2**53


def make_reports(loads, refusals, returning, owed, queues):
    """Return an ``operations.CapacityReport`` for each class to be shown.

    These are the classes that lack capacity, or whose jobs were refused.

    :param loads: list of ``shard_load.ClassLoad``
    :param refusals: map of class to the number of refused submissions
    :param returning: map of class to the number of jobs with a slot
    :param owed: list of ``shortage_shares.OwedGroup``
    :param queues: list of ``configuration.Queue``
    """
    by_class = {load.capacity_class: load for load in loads}
    pools = {queue.name: queue.pool for queue in queues}
    names = {*by_class, *refusals, *returning}
    reports = []
    for name in sorted(names, key=lambda one: (one.pool, one.fills)):
        report = operations.CapacityReport(
            name.pool,
            name.fills,
            refused=refusals.get(name, 0),
            returning=returning.get(name, 0),
        )
        load = by_class.get(name)
        if load is not None:
            left = load.left or 0.0
            report.rate_milli = int(load.rate)
            report.backlog_seconds = int(
                min(_MAX_SECONDS, left / _MILLI_MS_PER_CPU_SECOND)
            )
            report.is_short = load.is_short
            report.owed = [
                f'{group.queue} {group.dimension} {group.name}'
                for group in owed
                if load.is_short and pools.get(group.queue) == name.pool
            ]
        reports.append(report)
    return reports
