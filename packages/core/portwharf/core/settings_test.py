# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""All errors in a settings file are reported at once, with remedies."""

import voluptuous

from portwharf.core import settings

SCHEMA = voluptuous.Schema(
    {
        voluptuous.Required('vm'): {
            voluptuous.Required('address'): settings.ip_address,
            voluptuous.Required('port'): settings.port,
            voluptuous.Optional('share', default=1.0): settings.number(0, 1),
        },
        voluptuous.Optional('log', default=dict): settings.LOG,
    }
)
VALID = '[vm]\naddress = "10.0.0.5"\nport = 7000\n'


def check(text):
    """Return the problems of a settings text."""
    return settings.check_text(text, SCHEMA).err_value


def test_valid_text_is_completed_with_defaults(case):
    values = settings.check_text(VALID, SCHEMA).ok_value
    case.assertEqual(values['vm']['share'], 1.0)
    case.assertEqual(values['log'], {'style': 'json', 'level': 'INFO'})


def test_all_errors_are_reported(case):
    text = '[vm]\naddress = "vm.example"\nport = 0\nshare = 2\nprot = 1\n'
    fields = {problem.field for problem in check(text)}
    case.assertEqual(fields, {'vm.address', 'vm.port', 'vm.share', 'vm.prot'})


def test_similar_key_is_suggested_for_an_unknown_key(case):
    (problem,) = check(VALID + 'shar = 0.5\n')
    case.assertEqual(problem.remedy, 'did you mean "share"?')


def test_all_keys_are_listed_if_none_is_similar(case):
    (problem,) = check(VALID + 'zzz = 0.5\n')
    case.assertIn('address, port, share', problem.remedy)


def test_missing_key_is_named(case):
    (problem,) = check('[vm]\nport = 7000\n')
    case.assertEqual(problem.describe(), 'vm.address: is missing; add it')


def test_value_is_quoted_in_the_error(case):
    (problem,) = check(VALID.replace('7000', '70000'))
    case.assertEqual(problem.value, '70000')
    case.assertIn('from 1 to 65,535', problem.text)


def test_names_are_ascii(case):
    case.assertEqual(settings.name('zone-1.a'), 'zone-1.a')
    for name in ('', 'a b', 'z\xf4ne', 'zone-\xb2', '\u0663'):
        with case.assertRaises(settings.Invalid, msg=name):
            settings.name(name)


def test_text_that_is_not_toml_is_reported(case):
    (problem,) = check('[vm\n')
    case.assertEqual(problem.code, 'not-toml')


def test_missing_file_is_reported(case):
    read = settings.read_file('/nowhere/at/all.toml', SCHEMA)
    case.assertEqual(read.err_value[0].code, 'unreadable')


def test_true_is_not_a_number(case):
    case.assertEqual(check(VALID.replace('7000', 'true'))[0].field, 'vm.port')


def test_tls_is_off_only_if_plaintext_is_set(case):
    values = {'plaintext': False, 'certificate': '', 'key': ''}
    values['authority'] = ''
    case.assertEqual(len(settings.check_tls(values)), 1)
    case.assertEqual(settings.check_tls({**values, 'plaintext': True}), [])
