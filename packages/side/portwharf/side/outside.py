# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What a side meets outside: store, list of VMs, worker, configuration.

A side is the same whatever platform it runs on; what it is put together
with is given by an :class:`Outside`.
"""

import abc

from portwharf.scheduler import configuration
from portwharf.scheduler import zones
from portwharf import store
from portwharf import vmlist
from portwharf import workers


class Outside(abc.ABC):
    """Opens what a side works with, each as a context manager."""

    # The key that the operators' configuration is under, and what the keys
    # of closed availability zones begin with.
    config_key = configuration.KEY
    zones_prefix = zones.PREFIX

    @abc.abstractmethod
    def open_store(self, clock):
        """Return the ``store.Store``."""

    @abc.abstractmethod
    def open_vm_list(self, kv):
        """Return the ``vmlist.VmList``, given the opened store."""

    @abc.abstractmethod
    def open_worker(self):
        """Return the ``workers.Worker``, or None if there is none."""

    def open_policy(self):
        """Return the ``policy.Policy`` that governs queues, or None."""
        return None

    def parse_config(self, text, revision):
        """Read and check a configuration's text.

        :returns: Ok(Configuration), or Err(list of Problems)
        """
        return configuration.parse_configuration(text, revision)


class SettingsOutside(Outside):
    """What the settings of ``portwharf-side`` name."""

    def __init__(self, cfg):
        """Take checked ``settings.SideSettings``."""
        self._cfg = cfg

    def open_store(self, clock):
        place = self._cfg.store
        gateway = store.open_etcd(place.address, place.port)
        return store.BudgetedStore(gateway, clock)

    def open_vm_list(self, kv):
        place = self._cfg.vm_list
        return vmlist.HttpVmList(place.address, place.port)

    def open_worker(self):
        place = self._cfg.worker
        if place is None:
            return None
        return workers.HttpWorker(place.address, place.port)
