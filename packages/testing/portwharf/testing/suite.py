# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Finds and runs all tests: ``x_test.py`` beside module ``x``.

Tests are functions named ``test_...`` that take a ``unittest.TestCase``,
for its assertions and for fixtures by ``enterContext``. Arguments name the
modules to run, as in ``shardlog``; without any, all run. The last line
counts what passed and failed; tests whose failure is known are named, and
counted as skipped.
"""

import importlib
import inspect
import logging
import pathlib
import sys
import unittest

from portwharf.testing import knownred

# packages/<name>/portwharf/<name>/<room>/.../<module>_test.py
_PACKAGES = pathlib.Path(__file__).parents[3]
_PATTERN = '*/portwharf/*/**/*_test.py'


def load_tests(names=()):
    """Return a suite of the tests in the named modules, or in all."""
    suite = unittest.TestSuite()
    for path in find_modules():
        if names and path.stem.removesuffix('_test') not in names:
            continue
        suite.addTests(collect_tests(import_module(path)))
    return suite


def find_modules():
    """Return the paths of all test modules, in order."""
    return sorted(_PACKAGES.glob(_PATTERN))


def import_module(path):
    """Import the module at a path below the packages."""
    parts = path.relative_to(_PACKAGES).with_suffix('').parts[1:]
    return importlib.import_module('.'.join(parts))


def collect_tests(module):
    """Return a test case for each test function of a module."""
    return [
        _make_case(module, name, function)
        for name, function in inspect.getmembers(module, inspect.isfunction)
        if name.startswith('test_')
    ]


def _make_case(module, name, function):
    """Wrap a function as a test case of the library's."""

    def run(self):
        function(self)

    body = {name: run, '__doc__': None, '__module__': module.__name__}
    cls = type(module.__name__.rpartition('.')[2], (unittest.TestCase,), body)
    return cls(name)


def list_names(tests):
    """Return the names of some test cases, as ``module.test``."""
    return {f'{type(one).__name__}.{one._testMethodName}' for one in tests}


def main():
    """Run the tests; exit code 0 only if all passed or are known."""
    # Faults are brought about on purpose; what is logged of them is noise.
    logging.getLogger().addHandler(logging.NullHandler())
    suite = load_tests(sys.argv[1:])
    ran = list_names(suite)
    outcome = unittest.TextTestRunner(verbosity=1).run(suite)
    bad = [one for one, _ in outcome.failures + outcome.errors]
    red, stale = knownred.judge(knownred.read_list(), list_names(bad), ran)
    for one in red:
        print(f'known red: {one.test}: {one.cause} ({one.issue})')
    for one in stale:
        print(f'FAILED: {one.test} passes; take it off {knownred.PATH.name}')
    failed = len(bad) - len(red) + len(stale)
    skipped = len(outcome.skipped) + len(red)
    passed = outcome.testsRun - failed - skipped
    more = f', {skipped} skipped' if skipped else ''
    print(f'{passed} passed, {failed} failed{more}', flush=True)
    return 0 if passed and not failed else 1


if __name__ == '__main__':
    sys.exit(main())
