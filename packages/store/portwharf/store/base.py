# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What portwharf needs of the platform's key-value service.

Every call gives an outcome as a value. The one that matters is
``StoreError.unknown``: the call may have taken effect although no answer
came. A caller that gets it reads back before it does anything else.
"""

import abc
import dataclasses

# The service holds no value larger than this.
MAX_VALUE_BYTES = 1_000_000


@dataclasses.dataclass(slots=True)
class Entry:
    """One key with its value.

    :param revision: of the key's last change; grows over the whole store
    """

    key: str = ''
    value: bytes = b''
    revision: int = 0


@dataclasses.dataclass(slots=True)
class StoreError:
    """A call to the store that gave no answer.

    :param unknown: the call may have taken effect
    """

    text: str = ''
    unknown: bool = False


@dataclasses.dataclass(slots=True)
class Swap:
    """The answer to a compare-and-swap.

    :param done: the change was made
    :param revision: of the change, if made
    """

    done: bool = False
    revision: int = 0


@dataclasses.dataclass(slots=True)
class Names:
    """The keys that begin with some prefix, as of a revision of the store.

    What has changed since is seen by a watch after that revision.
    """

    keys: list[str] = dataclasses.field(default_factory=list)
    revision: int = 0


class Store(abc.ABC):
    """The platform's key-value service."""

    @abc.abstractmethod
    def read(self, key):
        """Read one key.

        :returns: Ok(Entry or None), or Err(StoreError)
        """

    @abc.abstractmethod
    def read_range(self, first, last, limit=0, keys_only=False):
        """Read the keys from ``first`` up to but without ``last``.

        :param limit: the most entries to give, 0 for all
        :returns: Ok(list of Entry, by key), or Err(StoreError)
        """

    @abc.abstractmethod
    def swap(self, key, value, revision, guard=None):
        """Write a key if its last change is still ``revision``.

        :param revision: 0 writes only a key that does not exist
        :param guard: an Entry whose key must be unchanged as well, or None
        :returns: Ok(Swap), or Err(StoreError)
        """

    @abc.abstractmethod
    def delete_range(self, first, last):
        """Delete the keys from ``first`` up to but without ``last``.

        :returns: Ok(number deleted), or Err(StoreError)
        """

    @abc.abstractmethod
    def wait_for_change(self, key, revision, timeout):
        """Wait until a key's last change is after ``revision``.

        :param timeout: seconds; a watch costs a call however long
        :returns: Ok(Entry), Ok(None) when time is up or the watch was
            dropped, or Err(StoreError)
        """

    @abc.abstractmethod
    def list_names(self, prefix):
        """Read which keys begin with a prefix, as they are now.

        :returns: Ok(Names), or Err(StoreError)
        """

    @abc.abstractmethod
    def wait_for_names(self, prefix, revision, timeout):
        """Wait until a key that begins with a prefix is written, or goes.

        :param revision: as ``Names`` gives it
        :param timeout: seconds; a watch costs a call however long
        :returns: Ok(Names) without keys, with the revision up to which
            nothing changed, 0 if something may have; or Err(StoreError)
        """


class LeaseStore(Store):
    """A store that has leases: keys that go when nobody renews them."""

    @abc.abstractmethod
    def put(self, key, value, lease):
        """Write a key, whatever it holds, under a lease.

        :param lease: from :meth:`open_lease`, or 0 for none
        :returns: Ok(Swap), or Err(StoreError)
        """

    @abc.abstractmethod
    def open_lease(self, seconds):
        """Begin a lease.

        :returns: Ok(number of the lease), or Err(StoreError)
        """

    @abc.abstractmethod
    def keep_lease(self, lease):
        """Renew a lease.

        :returns: Ok(whether it still runs), or Err(StoreError)
        """


def find_prefix_end(prefix):
    """Return the first key after all keys that begin with ``prefix``."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)
