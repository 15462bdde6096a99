# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Which worker sizes are remembered, and for how long."""

from portwharf.core import data
from portwharf.scheduler.decisions import vmview
from portwharf.scheduler.decisions import worker_sizes
from portwharf.testing import fixtures


def make_view(cpu_milli, pool='desk'):
    """Return the view of a VM of a size."""
    size = data.Resources(cpu_milli, 100)
    return vmview.VmView(fixtures.make_vm(0), size, pool=pool)


def test_number_of_sizes_is_bounded(case):
    """Failure: VMs whose capacity keeps changing fill the memory."""
    sizes = worker_sizes.WorkerSizes()
    count = worker_sizes.MAX_SIZES
    many = [make_view(1000 + number) for number in range(2 * count)]
    sizes.update(many, 0.0)
    case.assertEqual(len(sizes._sizes), count)
    sizes.update([make_view(500)], 1 + worker_sizes.KEEP_SECONDS)
    case.assertEqual(len(sizes._sizes), 1)


def test_size_counts_for_its_pool_and_in_each_dimension(case):
    """Failure: two VMs seem to hold a task that is too large for each."""
    sizes = worker_sizes.WorkerSizes()
    wide = vmview.VmView(
        fixtures.make_vm(0), data.Resources(8000, 100), pool='desk'
    )
    high = vmview.VmView(
        fixtures.make_vm(1), data.Resources(1000, 900), pool='desk'
    )
    sizes.update([wide, high], 0.0)
    case.assertTrue(sizes.has_held(data.Resources(8000, 50), 'desk'))
    case.assertTrue(sizes.has_held(data.Resources(1000, 900), ''))
    case.assertFalse(sizes.has_held(data.Resources(8000, 900), ''))
    case.assertFalse(sizes.has_held(data.Resources(1000, 50), 'other'))
