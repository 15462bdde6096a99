# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""``make bench-crashes``: tasks that crash workers, beside ordinary crashes.

Each day of :mod:`portwharf.testing.crash_day` is played by the same seed with
the judgement of suspects and without it, and what users get is counted: sound
jobs given up, sound tasks that went with a crasher's workers, how long its job
took to be shown as failed, work lost.
"""

import argparse
import concurrent.futures
import logging

from portwharf.testing import crash_day


def play_days(kind, seeds, judged):
    """Return the :class:`Tally` of some days of one kind."""
    tally = crash_day.Tally()
    for seed in seeds:
        tally.add(crash_day.Day(seed, kind, judged).play())
    return tally


def describe(kind, judged, days, tally):
    """Return a row of the table."""
    seconds = tally.seconds / max(1, tally.crashers)
    return (
        f'{kind:18} {"judged" if judged else "before":7} {days:5} '
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
    """Play days of all kinds and print what came of them."""
    parser = argparse.ArgumentParser(description=__doc__.split('\n')[0])
    parser.add_argument('--days', type=int, default=20)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--jobs', type=int, default=2)
    parser.add_argument(
        '--kinds', nargs='*', default=crash_day.ORDINARY + crash_day.CRASHERS
    )
    chosen = parser.parse_args()
    # What owners log of it would be most of what is printed.
    logging.lastResort = None
    seeds = range(chosen.first, chosen.first + chosen.days)
    print(HEADING, flush=True)
    with concurrent.futures.ProcessPoolExecutor(chosen.jobs) as pool:
        rows = [
            (kind, judged, pool.submit(play_days, kind, seeds, judged))
            for kind in chosen.kinds
            for judged in (False, True)
            if judged or kind in crash_day.CRASHERS
        ]
        for kind, judged, played in rows:
            row = describe(kind, judged, chosen.days, played.result())
            print(row, flush=True)


if __name__ == '__main__':
    main()
