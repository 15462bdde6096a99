# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The example settings are valid; problems name their field."""

import pathlib
import tempfile

from portwharf.side import settings

EXAMPLES = pathlib.Path(__file__).parents[4] / 'examples'
GOOD = (EXAMPLES / 'side.toml').read_text()


def read(case, text):
    """Read settings from a text."""
    folder = case.enterContext(tempfile.TemporaryDirectory())
    path = pathlib.Path(folder) / 'side.toml'
    path.write_text(text)
    return settings.read_settings(path)


def list_fields(case, text):
    """Return the fields in which a text has problems."""
    return {problem.field for problem in read(case, text).err_value}


def test_example_is_good(case):
    cfg = read(case, GOOD).ok_value
    case.assertEqual(cfg.vm.name, 'vm-00')
    case.assertEqual(cfg.runner.slots, 8)
    case.assertIsNotNone(cfg.tls)


def test_all_problems_are_reported(case):
    text = GOOD.replace('port = 7100', 'port = 71000')
    text = text.replace('address = "10.0.0.2"', 'adress = "10.0.0.2"')
    case.assertEqual(
        list_fields(case, text), {'vm.port', 'store.adress', 'store.address'}
    )


def test_plain_text_needs_an_explicit_setting(case):
    head, _, _ = GOOD.partition('[tls]')
    case.assertEqual(list_fields(case, head + '[tls]\n'), {'tls'})
    made = read(case, head + '[tls]\nplaintext = true\n').ok_value
    case.assertIsNone(made.tls)


def test_inconsistent_limits_are_rejected(case):
    text = GOOD + '[limits]\nheartbeat_seconds = 2.0\n'
    case.assertEqual(list_fields(case, text), {'limits.confirm_seconds'})


def test_bridged_outages_are_in_order(case):
    text = GOOD + '[limits]\noutage_seconds = 10.0\n'
    case.assertEqual(list_fields(case, text), {'limits.outage_seconds'})
    text = GOOD + '[limits]\ndegraded_outage_seconds = 2.0\n'
    case.assertEqual(
        list_fields(case, text), {'limits.degraded_outage_seconds'}
    )


def test_side_needs_a_worker_or_a_runner(case):
    head, _, rest = GOOD.partition('[worker]')
    text = head + '[tls]' + rest.partition('[tls]')[2]
    case.assertEqual(list_fields(case, text), {''})


def test_vms_are_compared_only_if_asked_for(case):
    case.assertFalse(read(case, GOOD).ok_value.compares_vms)
    text = GOOD + '[placement]\ncompare_vms = true\n'
    case.assertTrue(read(case, text).ok_value.compares_vms)


def test_memory_for_jobs_is_read(case):
    text = GOOD + '[memory]\njobs_mb = 20\n'
    case.assertEqual(read(case, text).ok_value.max_job_bytes, 20 * 2**20)
    text = GOOD + '[memory]\njobs_mb = 0\n'
    case.assertEqual(list_fields(case, text), {'memory.jobs_mb'})
