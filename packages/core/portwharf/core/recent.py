# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A map of bounded size that drops the oldest, but never what is in use."""

__all__ = ['Recent']


class Recent:
    """The latest entries, and all that are in use, by name."""

    def __init__(self, most):
        """Take how many entries are kept, unless more are in use."""
        self._most = most
        self._values = {}
        self._used = frozenset()

    def __contains__(self, name):
        return name in self._values

    def __len__(self):
        return len(self._values)

    def use(self, names):
        """Say which names are in use from now on."""
        self._used = frozenset(names)

    def get(self, name, default=None):
        """Return the value under a name, or the default."""
        return self._values.get(name, default)

    def put(self, name, value):
        """Set a value; it is the latest now."""
        self._values.pop(name, None)
        self._values[name] = value
        if len(self._values) > self._most:
            self._drop()

    def clear(self):
        """Forget everything."""
        self._values.clear()

    def _drop(self):
        """Drop the oldest entry that is not in use.

        What is in use is counted as the latest, so that it is not looked at
        again each time.
        """
        for name in list(self._values):
            if name not in self._used:
                del self._values[name]
                return
            self._values[name] = self._values.pop(name)
