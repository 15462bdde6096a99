# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Tests of reading the platform's settings file."""

import pathlib
import tempfile

from portwharf.core import data
from portwharf.core import settings
from portwharf.platform import boot
from portwharf.scheduler import environment

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
    """Write a settings file and read it."""
    folder = case.enterContext(tempfile.TemporaryDirectory())
    path = pathlib.Path(folder) / 'boot.toml'
    path.write_text(text)
    return boot.read_settings({boot.PATH_VARIABLE: str(path)})


def test_side_settings_are_read(case):
    found = read(case, TEXT).ok_value
    vm = data.Vm('vm-1', '10.1.0.14', 7720, 'zone-1')
    case.assertEqual(found.vm, vm)
    case.assertEqual(found.runner, settings.Endpoint('10.1.0.14', 8165))
    case.assertEqual(found.beats.port, 8166)
    case.assertEqual((found.pages_port, found.max_hold_ms), (7721, 10000))
    case.assertEqual(found.store_calls, 60)


def test_jobs_may_take_a_share_of_the_memory(case):
    found = read(case, TEXT + '[limits]\nmemoryMb = 200\n').ok_value
    case.assertEqual(found.max_job_bytes, 60 * 2**20)
    found = read(case, TEXT).ok_value
    case.assertEqual(found.max_job_bytes, environment.MAX_JOB_BYTES)


def test_entry_has_the_entry_role(case):
    found = read(case, TEXT.replace('"side"', '"front"')).ok_value
    case.assertEqual(found.vm.role, data.Role.ENTRY)


def test_leases_are_shorter_than_the_longest_of_a_runner(case):
    found = read(case, TEXT).ok_value
    for longest_ms in (3000, 6000, 10000):
        found.max_hold_ms = longest_ms
        time_limits = boot.make_limits(found)
        seconds = longest_ms / 1000
        case.assertLess(time_limits.guard + time_limits.lease, seconds)
        case.assertLessEqual(2 * time_limits.heartbeat, time_limits.confirm)


def test_error_names_the_missing_field(case):
    found = read(case, TEXT.replace('zone =', 'other ='))
    case.assertIn('zone', found.err_value[0].describe())


def test_error_names_the_missing_file(case):
    found = boot.read_settings({boot.PATH_VARIABLE: '/nowhere/boot.toml'})
    case.assertIn('/nowhere/boot.toml', found.err_value[0].describe())


def test_odd_setting_is_an_error(case):
    changes = (
        ('maxHoldMs = 10000', 'maxHoldMs = inf'),
        ('graceS = 6', 'graceS = []'),
        ('writes_per_s = 400', 'writes_per_s = "x"'),
        ('"10.1.0.14:8166"', '7'),
        ('[7720, 7735]', '7'),
        ('[7720, 7735]', '[' * 60_000),
    )
    for one, other in changes:
        found = read(case, TEXT.replace(one, other))
        case.assertTrue(found.err_value[0].describe())
    odd = TEXT + '[limits]\nmemoryMb = inf\n'
    case.assertTrue(read(case, odd).is_err())
