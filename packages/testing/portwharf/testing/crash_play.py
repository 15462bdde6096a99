# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Benchmark of crash-loop detection (``make bench-crashes``).

Simulates days of :mod:`portwharf.testing.crash_day` on the same seeds with
and without crash-loop detection, and prints the results: healthy jobs given
up, healthy tasks lost in worker crashes, the time until a crashing job is
shown as failed, and the work lost.
"""

import argparse
import concurrent.futures
import logging

from portwharf.testing import crash_day


def run_days(kind, seeds, with_detection):
    """Return the summed :class:`crash_day.Tally` of days of one kind."""
    tally = crash_day.Tally()
    for seed in seeds:
        tally.add(crash_day.Day(seed, kind, with_detection).run())
    return tally


def format_row(kind, with_detection, days, tally):
    """Format a row of the table."""
    seconds = tally.seconds / max(1, tally.crashers)
    return (
        f'{kind:18} {"judged" if with_detection else "before":7} {days:5} '
        f'{tally.false:5} {tally.caught:4}/{tally.crashers:<4} '
        f'{tally.crashes / max(1, tally.crashers):7.1f} {tally.most:4} '
        f'{tally.killed / days:7.1f} {tally.serving / days:7.2f} '
        f'{tally.lost / days:7.1f} {seconds:7.2f} {tally.done / days:7.1f} '
        f'{tally.away:5.1f}'
    )


HEADING = (
    f'{"day":18} {"policy":7} {"days":>5} {"false":>5} {"caught":>9} '
    f'{"crashes":>7} {"most":>4} {"killed":>7} {"serving":>7} '
    f'{"core-s":>7} {"seconds":>7} {"done":>7} {"away":>5}'
)


def main():
    """Simulate days of the chosen kinds and print a table."""
    parser = argparse.ArgumentParser(description=__doc__.split('\n')[0])
    parser.add_argument('--days', type=int, default=20)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--jobs', type=int, default=2)
    parser.add_argument(
        '--kinds',
        nargs='*',
        default=crash_day.ORDINARY_KINDS + crash_day.CRASHER_KINDS,
    )
    arguments = parser.parse_args()
    # Keeps the owners' log lines out of the table.
    logging.lastResort = None
    seeds = range(arguments.first, arguments.first + arguments.days)
    print(HEADING, flush=True)
    with concurrent.futures.ProcessPoolExecutor(arguments.jobs) as pool:
        rows = [
            (
                kind,
                with_detection,
                pool.submit(run_days, kind, seeds, with_detection),
            )
            for kind in arguments.kinds
            for with_detection in (False, True)
            if with_detection or kind in crash_day.CRASHER_KINDS
        ]
        for kind, with_detection, future in rows:
            row = format_row(
                kind, with_detection, arguments.days, future.result()
            )
            print(row, flush=True)


if __name__ == '__main__':
    main()
