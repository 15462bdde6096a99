# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Settings of the platform are read once, and what is amiss is named."""

import pathlib
import tempfile

from portwharf.core import data
from portwharf.core import settings
from portwharf.platform import boot

TEXT = """
node = "vm-1"
serves = ["side"]
ip = "10.1.0.14"
zone = "zone-1"
internalPorts = [7720, 7735]
app = "10.1.0.14:8165"
unheardOf = 3
[listen]
control = "10.1.0.14:8166"
[bounds]
maxHoldMs = 10000
graceS = 6
[platform]
address = "10.200.1.7:8169"
writes_per_s = 400
"""


def read(case, text):
    """Read settings from a file with a text."""
    folder = case.enterContext(tempfile.TemporaryDirectory())
    path = pathlib.Path(folder) / 'boot.toml'
    path.write_text(text)
    return boot.read_settings({boot.PATH_VARIABLE: str(path)})


def test_side_learns_its_place(case):
    found = read(case, TEXT).ok_value
    vm = data.Vm('vm-1', '10.1.0.14', 7720, 'zone-1')
    case.assertEqual(found.vm, vm)
    case.assertEqual(found.runner, settings.Endpoint('10.1.0.14', 8165))
    case.assertEqual(found.beats.port, 8166)
    case.assertEqual((found.pages_port, found.max_hold_ms), (7721, 10000))
    case.assertEqual(found.store_calls, 60)


def test_entry_is_no_endpoint(case):
    found = read(case, TEXT.replace('"side"', '"front"')).ok_value
    case.assertEqual(found.vm.role, data.Role.ENTRY)


def test_leases_fit_into_what_a_runner_gives(case):
    found = read(case, TEXT).ok_value
    for longest in (3000, 6000, 10000):
        found.max_hold_ms = longest
        made = boot.make_limits(found)
        seconds = longest / 1000
        case.assertLess(made.guard + made.lease, seconds)
        case.assertLessEqual(2 * made.heartbeat, made.confirm)


def test_missing_field_is_named(case):
    found = read(case, TEXT.replace('zone =', 'other ='))
    case.assertIn('zone', found.err_value[0].describe())


def test_missing_file_is_named(case):
    found = boot.read_settings({boot.PATH_VARIABLE: '/nowhere/boot.toml'})
    case.assertIn('/nowhere/boot.toml', found.err_value[0].describe())
