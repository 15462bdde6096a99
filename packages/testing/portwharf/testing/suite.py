# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Finds and runs all tests: ``x_test.py`` beside module ``x``.

Tests are functions named ``test_...`` that take a ``unittest.TestCase``,
for its assertions and for fixtures by ``enterContext``. Arguments name the
modules to run, as in ``shardlog``; without any, all run. The last line
counts the tests that passed, failed and were skipped. Known failures are
printed and count as skipped.
"""

import importlib
import inspect
import logging
import pathlib
import sys
import unittest

from portwharf.testing import known_failures

# Holds <name>/portwharf/<name>/<package>/.../<module>_test.py.
_PACKAGES = pathlib.Path(__file__).parents[3]
_PATTERN = '*/portwharf/*/**/*_test.py'


def load_tests(names=()):
    """Return a suite of the tests of the named modules, or of all."""
    suite = unittest.TestSuite()
    for path in find_modules():
        if names and path.stem.removesuffix('_test') not in names:
            continue
        suite.addTests(collect_tests(import_module(path)))
    return suite


def find_modules():
    """Return the paths of all test modules, sorted."""
    return sorted(_PACKAGES.glob(_PATTERN))


def import_module(path):
    """Import the module at a path below the packages."""
    parts = path.relative_to(_PACKAGES).with_suffix('').parts[1:]
    return importlib.import_module('.'.join(parts))


def collect_tests(module):
    """Return a test case for each test function of a module."""
    return [
        _wrap_function(module, name, function)
        for name, function in inspect.getmembers(module, inspect.isfunction)
        if name.startswith('test_')
    ]


def _wrap_function(module, name, function):
    """Return a ``unittest.TestCase`` that calls a test function."""

    def run(self):
        function(self)

    attributes = {name: run, '__doc__': None, '__module__': module.__name__}
    cls = type(
        module.__name__.rpartition('.')[2], (unittest.TestCase,), attributes
    )
    return cls(name)


def list_names(tests):
    """Return the names of test cases, as ``module.test``."""
    return {f'{type(test).__name__}.{test._testMethodName}' for test in tests}


def main():
    """Run the tests; returns 0 if all passed, but for known failures."""
    # Hides the logs of faults that tests inject.
    logging.getLogger().addHandler(logging.NullHandler())
    suite = load_tests(sys.argv[1:])
    ran = list_names(suite)
    outcome = unittest.TextTestRunner(verbosity=1).run(suite)
    failing = [test for test, _ in outcome.failures + outcome.errors]
    known, stale = known_failures.match_failures(
        known_failures.read_list(), list_names(failing), ran
    )
    for entry in known:
        print(f'known red: {entry.test}: {entry.cause} ({entry.issue})')
    for entry in stale:
        print(
            f'FAILED: {entry.test} passes; '
            f'take it off {known_failures.PATH.name}'
        )
    failed = len(failing) - len(known) + len(stale)
    skipped = len(outcome.skipped) + len(known)
    passed = outcome.testsRun - failed - skipped
    skipped_text = f', {skipped} skipped' if skipped else ''
    print(f'{passed} passed, {failed} failed{skipped_text}', flush=True)
    return 0 if passed and not failed else 1


if __name__ == '__main__':
    sys.exit(main())
