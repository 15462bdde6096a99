# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The external services of a side: store, VM list, worker and policy.

An :class:`ExternalServices` adapts a side to the platform that it runs on.
"""

import abc

from portwharf.scheduler import configuration
from portwharf.scheduler import zones
from portwharf import store
from portwharf import vmlist
from portwharf import workers


class ExternalServices(abc.ABC):
    """Opens a side's external services, each as a context manager."""

    # Key of the operators' configuration, and key prefix of the closed
    # availability zones.
    config_key = configuration.KEY
    zones_prefix = zones.PREFIX

    @abc.abstractmethod
    def open_store(self, clock):
        """Return the ``store.Store``."""

    @abc.abstractmethod
    def open_vm_list(self, kv):
        """Return the ``vmlist.VmList``.

        :param kv: the opened store
        """

    @abc.abstractmethod
    def open_worker(self):
        """Return the ``workers.Worker``, or None if there is none."""

    def open_policy(self):
        """Return the ``policy.Policy`` that governs queues, or None."""
        return None

    def parse_config(self, text, revision):
        """Parse and check the text of a configuration.

        :returns: Ok(Configuration), or Err(list of Problems)
        """
        return configuration.parse_configuration(text, revision)


class ConfiguredServices(ExternalServices):
    """Opens the services named in the settings of ``portwharf-side``."""

    def __init__(self, cfg):
        """Take checked ``settings.SideSettings``."""
        self._cfg = cfg

    def open_store(self, clock):
        endpoint = self._cfg.store
        gateway = store.open_etcd(endpoint.address, endpoint.port)
        return store.RateLimitedStore(gateway, clock)

    def open_vm_list(self, kv):
        endpoint = self._cfg.vm_list
        return vmlist.HttpVmList(endpoint.address, endpoint.port)

    def open_worker(self):
        endpoint = self._cfg.worker
        if endpoint is None:
            return None
        return workers.HttpWorker(endpoint.address, endpoint.port)
