# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A site of ``overload_day`` whose VMs suit filling tasks very differently.

``python -m portwharf.testing.uneven_site`` prints what its jobs earn with and
without what the scheduler does about uneven pools.
"""

import argparse
from unittest import mock

from portwharf.core import data
from portwharf.scheduler.decisions import uneven_pools
from portwharf.testing import overload_day
from portwharf.testing import overload_load
from portwharf.testing import overload_servers

UNEVEN_VMS = overload_day.Site(
    data.Resources(64_000, 250_000),
    data.Resources(36_000, 80_000),
    overload_load.WideShape(7000, 2.4, 1.0, checkpoint_share=0.85),
    overload_servers.UnevenServers,
)
# Wide jobs a second at which the site has two to three times the work that it
# can do in time.
LOADS = (1.5, 2.2)


def simulate(seeds, load, with_part=True, site=UNEVEN_VMS):
    """Return the ``overload_load.Tally`` of the wide jobs of some days.

    :param with_part: whether pools may count as uneven
    """
    total = overload_load.Tally()
    share = uneven_pools.MIN_POOR_SHARE if with_part else 2.0
    with mock.patch.object(uneven_pools, 'MIN_POOR_SHARE', share):
        for seed in seeds:
            day = overload_day.simulate_day('learnt', seed, load, site=site)
            total.add(day[overload_load.WIDE])
    return total


def main():
    """Print the shares of jobs in time and of worth, by load."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seeds', type=int, default=8)
    arguments = parser.parse_args()
    for load in LOADS:
        for with_part in (False, True):
            total = simulate(range(arguments.seeds), load, with_part)
            print(
                f'load {load} {"with" if with_part else "without"} the part: '
                f'{total.in_time / total.jobs:.3f} of {total.jobs} jobs in '
                f'time, {total.share:.3f} of their worth',
                flush=True,
            )


if __name__ == '__main__':
    main()
