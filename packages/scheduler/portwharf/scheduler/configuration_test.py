# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Proposals, validation and updates of the configuration."""

from portwharf.core import data
from portwharf.scheduler import configuration
from portwharf import store
from portwharf.testing import fixtures

TEXT = '[weights]\nevictions = 3.0\n'
OTHER_TEXT = '[weights]\nevictions = 4.0\n'


def propose(kv, base, text=TEXT):
    """Propose a text and return the outcome."""
    return configuration.propose_configuration(kv, base, text)


def get_code(outcome):
    """Return the code of the first problem."""
    return outcome.err_value[0].code


def test_text_is_read_with_defaults(case):
    text = TEXT + '[teams.lens]\nquota = {cpu_milli = 5, memory_mb = 6}\n'
    cfg = configuration.parse_configuration(text).ok_value
    case.assertEqual(cfg.weights, configuration.Weights(5.0, 2.0, 3.0))
    case.assertEqual(cfg.quotas['lens'].memory_mb, 6)


def test_wrong_text_is_refused_as_a_whole(case):
    kv, fake = fixtures.make_store()
    bad = TEXT + '[services.x]\ntarget_ms = 0\ntarget_ratio = 2\n'
    outcome = propose(kv, 0, bad)
    fields = {problem.field for problem in outcome.err_value}
    case.assertEqual(
        fields, {'services.x.target_ms', 'services.x.target_ratio'}
    )
    case.assertEqual(fake.list_keys(), [])


def test_concurrent_change_is_a_conflict(case):
    kv, _ = fixtures.make_store()
    first = propose(kv, 0).ok_value
    case.assertGreater(propose(kv, first, OTHER_TEXT).ok_value, first)
    outcome = propose(kv, first, TEXT)
    case.assertEqual(get_code(outcome), 'conflict')


def test_conflict_shows_the_difference(case):
    kv, _ = fixtures.make_store()
    propose(kv, 0, OTHER_TEXT)
    text = propose(kv, 0, TEXT).err_value[0].text
    case.assertIn('-evictions = 4.0', text)
    case.assertIn('+evictions = 3.0', text)


def test_lost_answer_is_read_back(case):
    kv, fake = fixtures.make_store()
    fake.faults.lose_answers = 1
    case.assertTrue(propose(kv, 0).is_ok())


def test_outcome_of_a_lost_request_is_unknown(case):
    kv, fake = fixtures.make_store()
    fake.faults.lose_requests = 1
    case.assertEqual(get_code(propose(kv, 0)), 'outcome-unknown')


def test_store_down_changes_nothing(case):
    kv, fake = fixtures.make_store()
    fake.faults.down = True
    case.assertIn(
        get_code(propose(kv, 0)), ('not-accepted', 'outcome-unknown')
    )


def test_quota_below_what_is_reserved_is_refused(case):
    text = '[teams.lens]\nquota = {cpu_milli = 5, memory_mb = 60}\n'
    cfg = configuration.parse_configuration(text).ok_value
    reserved = {'lens': data.Resources(6, 60), 'desk': data.Resources(9, 9)}
    (problem,) = configuration.check_quotas(cfg, reserved)
    case.assertEqual(problem.field, 'teams.lens.quota.cpu_milli')
    case.assertIn('below the 6', problem.text)
    case.assertEqual(configuration.check_quotas(cfg, {}), [])


def test_keeper_takes_only_higher_revisions(case):
    keeper = configuration.ConfigKeeper()
    case.assertTrue(keeper.update(5, TEXT))
    case.assertFalse(keeper.update(5, OTHER_TEXT))
    case.assertFalse(keeper.update(4, OTHER_TEXT))
    case.assertEqual(keeper.read().text, TEXT)


def test_invalid_update_is_not_put_in_force(case):
    keeper = configuration.ConfigKeeper()
    keeper.update(5, TEXT)
    case.assertFalse(keeper.update(6, '[weights]\nevictions = -1\n'))
    case.assertEqual(keeper.read().revision, 5)


def test_listeners_are_called_once_for_a_change(case):
    keeper = configuration.ConfigKeeper()
    revisions = []
    keeper.add_listener(lambda: revisions.append(keeper.read().revision))
    keeper.update(5, TEXT)
    keeper.update(4, OTHER_TEXT)
    case.assertEqual(revisions, [5])


def test_configuration_that_cannot_be_read_is_passed_over(case):
    """Guards against a watching thread that ends (incident 0035)."""
    kv, _ = fixtures.make_store()
    keeper = configuration.ConfigKeeper()
    watcher = configuration.ConfigWatcher(kv, keeper)
    before = fixtures.read_counter('portwharf_config_rejected')
    odd = [b'\xff\xfe', b'a = ' + b'[' * 60_000, b'weights = 10']
    odd.append(b'[weights]\nevictions = ' + b'9' * 5000)
    for number, raw in enumerate(odd):
        watcher._offer(store.Entry(configuration.KEY, raw, 9 + number))
    case.assertEqual(keeper.read().revision, 0)
    after = fixtures.read_counter('portwharf_config_rejected')
    case.assertEqual(after - before, len(odd))
    watcher._offer(store.Entry(configuration.KEY, TEXT.encode(), 20))
    case.assertEqual(keeper.read().revision, 20)
