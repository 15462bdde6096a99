# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The command line: examples are valid and mistakes are reported."""

import contextlib
import io
import pathlib
import sys
import tempfile
from unittest import mock

import cappa

from portwharf.entry import charts
from portwharf.entry import cli
from portwharf.entry import main
from portwharf.v1 import operators_pb as pb

EXAMPLES = pathlib.Path(__file__).parents[4] / 'examples'


def run(*argv):
    """Run a command line; returns exit code, stdout and stderr."""
    out, err = io.StringIO(), io.StringIO()
    code = 0
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        try:
            cappa.invoke(main.Portwharf, argv=list(argv))
        except (SystemExit, cappa.Exit) as exc:
            code = exc.code
    return code, out.getvalue(), err.getvalue()


def write_changed(case, name, *pairs):
    """Write a copy of an example with replacements; returns its path."""
    text = (EXAMPLES / name).read_text()
    for old, new in pairs:
        case.assertIn(old, text)
        text = text.replace(old, new)
    folder = case.enterContext(tempfile.TemporaryDirectory())
    path = pathlib.Path(folder) / name
    path.write_text(text)
    return str(path)


def test_examples_are_valid(case):
    for name in ('entry.toml', 'side.toml', 'overnight.toml'):
        code, out, err = run('check-settings', str(EXAMPLES / name))
        case.assertEqual((code, err), (0, ''))
        case.assertIn('good', out)


def test_all_errors_in_a_workload_file_are_reported(case):
    path = write_changed(
        case,
        'overnight.toml',
        ('kind = "batch"', 'kind = "bach"'),
        ('count = 40', 'count = 0'),
        ('cpu_milli', 'cpus'),
        ('importance = 100', 'importance = "high"'),
        ('name = "overnight"', 'name = "over night"'),
    )
    code, _, err = run('submit', path, '--entry', '127.0.0.1:1')
    case.assertEqual(code, cli.EXIT_USAGE)
    for field in ('kind', 'count', 'resources.cpus', 'importance', 'name'):
        case.assertIn(f'workload.0.{field}: ', err)
    case.assertIn('did you mean "cpu_milli"?', err)


def test_errors_in_entry_settings_are_reported(case):
    path = write_changed(
        case,
        'entry.toml',
        ('"10.0.0.10"', '"entry.example"'),
        ('threads', 'treads'),
    )
    code, _, err = run('check-settings', path)
    case.assertEqual(code, cli.EXIT_USAGE)
    case.assertIn('entry.address: must be an IP number', err)
    case.assertIn('did you mean "threads"?', err)


def test_malformed_entry_address_is_reported(case):
    code, _, err = run('jobs', '--entry', 'somewhere')
    case.assertEqual(code, cli.EXIT_USAGE)
    case.assertIn('must be IP:PORT', err)


def test_unreachable_entry_has_an_exit_code_of_its_own(case):
    code, _, err = run('jobs', '--entry', '127.0.0.1:1')
    case.assertEqual(code, cli.EXIT_UNREACHABLE)
    case.assertIn('unreachable', err)


def test_chart_without_matplotlib_names_the_remedy(case):
    with mock.patch.dict(sys.modules, {'matplotlib': None}):
        drawn = charts.draw_burn_chart([], 'burn.png')
    case.assertIn('requirements-pictures.txt', drawn.err_value.remedy)


def test_status_shows_the_load_of_pools_if_there_is_any(case):
    """A shortage is shown; without reports the output is as before."""
    shard = pb.ShardStatus(shard=4, owner='side-1')
    answer = pb.ClusterStatusResponse(shards=[shard])
    with mock.patch.object(
        cli, 'call_entry', autospec=True, return_value=answer
    ):
        _, before, _ = run('status', '--entry', '127.0.0.1:1')
        shard.capacity = [
            pb.CapacityStatus(
                pool='east',
                fills=True,
                rate_milli=2500,
                backlog_seconds=90,
                is_short=True,
                refused=7,
                returning=3,
                owed=['queue-2 zone b', 'queue-2 large'],
            ),
            pb.CapacityStatus(pool='west'),
        ]
        code, out, _ = run('status', '--entry', '127.0.0.1:1')
    case.assertEqual(code, 0)
    case.assertNotIn('POOL', before)
    rows = [line.split() for line in out.splitlines()]
    owed = 'queue-2 zone b, queue-2 large'.split()
    short = ['4', 'east', 'filling', '2.5cpu', '90cpu-s', 'yes', '7', '3']
    case.assertIn([*short, *owed], rows)
    idle = ['4', 'west', 'other', '0cpu', '0cpu-s', 'no', '0', '0', '-']
    case.assertIn(idle, rows)


def test_help_has_examples(case):
    for command in ('serve', 'submit', 'jobs', 'call', 'explain', 'cancel'):
        code, out, _ = run(command, '--help')
        case.assertIn('Example:', out)
