# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Overload days with several callers, with and without fair shares.

``python -m portwharf.testing.overload_shares`` prints what the queue and the
callers earn over some seeds, with each variant of
``decisions.shortage_shares``.
"""

import argparse
import collections
import concurrent.futures
import functools

from portwharf.scheduler.decisions import precedence
from portwharf.scheduler.decisions import shard_load
from portwharf.scheduler.decisions import shortage_shares
from portwharf.testing import overload_day
from portwharf.testing import overload_load

# Processes that simulate days at the same time.
_PROCESSES = 3


class SharesDay(overload_day.Day):
    """A day whose wide jobs come from a crowd of callers."""

    def __init__(self, seed, load, crowd=None, shares=None, **fields):
        """Take a seed and the load.

        :param crowd: an ``overload_load.Crowd``, or None for one caller
        :param shares: a class as ``shortage_shares.ShortageShares``; None for
            days without fair shares
        :param fields: further arguments of ``overload_day.Day``
        """
        super().__init__(seed, load, **fields)
        self._crowd = crowd
        self._clients = overload_load.Clients(
            seed, load, self._estimates_off, self._site.wide, crowd
        )
        self._load = shard_load.LoadTracker(0.0)
        self._shares = shares(self._state) if shares else None
        self.promoted = set()

    def tally_callers(self):
        """Return the ``overload_load.Tally`` of each caller of wide jobs."""
        tallies = collections.defaultdict(overload_load.Tally)
        for name, submitted in self._submitted.items():
            ends = submitted.came + submitted.objective
            if submitted.job.queue != overload_load.WIDE:
                continue
            if ends <= overload_day.DURATION_SECONDS:
                caller = submitted.job.caller or submitted.job.zone
                tallies[caller].count(submitted, self._latencies.get(name))
        return tallies

    def _make_weigher(self):
        return precedence.Weigher(
            self._state, self._now_ms, self.run_times, self._shares
        )

    def _record_pass(self, waiting, views):
        by_id = {one.record.id: one for one in waiting}
        self._load.update(
            self._state, views, by_id, self._make_weigher(), self.now
        )

    def _run_pass(self, with_moves):
        if self._shares:
            self._shares.update(
                self._make_weigher(),
                self.now,
                self._now_ms,
                lambda one: self._load.is_short(one, self.now),
                self._load.get_rate,
            )
            self.promoted |= {
                group.promoted for group in self._shares.list_owed()
            }
        super()._run_pass(with_moves)


def simulate_day(seed, load, crowd=None, shares=None, site=None):
    """Simulate one day.

    :returns: map of caller to ``overload_load.Tally``, with the whole queue as
        '' and the small jobs' queue by its name, and the number of promoted
        jobs
    """
    site = site or overload_day.LARGE_VMS
    day = SharesDay(seed, load, crowd, shares, site=site)
    queues = day.run()
    tallies = day.tally_callers()
    tallies[''] = queues[overload_load.WIDE]
    tallies[overload_load.SMALL] = queues[overload_load.SMALL]
    return dict(tallies), len(day.promoted)


def simulate_days(seeds, pool=None, **fields):
    """Return the shares earned over some days, by name as in ``simulate_day``.

    The neighbours of a greedy caller count as one.

    :param pool: a ``concurrent.futures.Executor``, or None
    :returns: map of name to the share of worth earned, and the number of
        promoted jobs
    """
    run = functools.partial(simulate_day, **fields)
    days = list((pool.map if pool else map)(run, seeds))
    earned, owed = collections.Counter(), collections.Counter()
    for tallies, _ in days:
        for name, tally in tallies.items():
            name = 'neighbours' if 'neighbour' in name else name
            earned[name] += tally.earned
            owed[name] += tally.owed
    shares = {name: earned[name] / owed[name] for name in owed if owed[name]}
    return shares, sum(promoted for _, promoted in days)


def main():
    """Print the shares earned with and without fair shares."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seeds', type=int, default=12)
    parser.add_argument('--loads', default='1.3,4.0')
    parser.add_argument('--dimension', default='', help='caller or zone')
    parser.add_argument('--small', action='store_true', help='small VMs')
    arguments = parser.parse_args()
    crowd = None
    if arguments.dimension:
        crowd = overload_load.Crowd(arguments.dimension)
    site = overload_day.SMALL_VMS if arguments.small else None
    variants = {'none': None, 'shares': shortage_shares.ShortageShares}
    with concurrent.futures.ProcessPoolExecutor(_PROCESSES) as pool:
        for load in map(float, arguments.loads.split(',')):
            for name, shares in variants.items():
                found, promoted = simulate_days(
                    range(arguments.seeds),
                    pool,
                    load=load,
                    crowd=crowd,
                    shares=shares,
                    site=site,
                )
                rows = ', '.join(
                    f'{key or "queue"} {share:.3f}'
                    for key, share in sorted(found.items())
                )
                print(f'{load} {name:8} {rows}, {promoted} promoted')


if __name__ == '__main__':
    main()
