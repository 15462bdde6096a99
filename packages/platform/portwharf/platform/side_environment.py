# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What a side uses on the users' platform: store, VM list, runner, policy."""

from portwharf.core import web
from portwharf.platform import advice
from portwharf.platform import decoding
from portwharf.platform import heartbeats
from portwharf.platform import runner
from portwharf.platform import store_client
from portwharf.side import external_services
from portwharf import vmlist

# How long a call waits for the registration, which provides the token.
_REGISTRATION_WAIT_SECONDS = 0.1
_HEARTBEAT_THREADS = 2


class PlatformEnvironment(external_services.ExternalServices):
    """Opens the platform's store, VM registration, runner and policy."""

    config_key = decoding.CONFIG_KEY
    zones_prefix = decoding.ZONES_PREFIX

    def __init__(self, settings):
        """Take a ``boot.BootSettings``."""
        self._boot = settings
        self._registration = None

    def open_store(self, clock):
        return store_client.open_rate_limited_store(self._boot, clock)

    def open_vm_list(self, kv):
        self._registration = vmlist.Registration(kv, self._boot.vm)
        return self._registration

    def open_worker(self):
        endpoint = self._boot.runner
        return _RunnerWithHeartbeats(
            endpoint,
            self._read_token,
            self._boot.max_hold_ms,
            self._boot.beats,
        )

    def _read_token(self):
        """Return the fencing token, 0 while the side is not registered."""
        self._registration.registered.wait(_REGISTRATION_WAIT_SECONDS)
        return self._registration.token

    def open_policy(self):
        endpoint = self._boot.advice
        return advice.AdviceClient(endpoint) if endpoint is not None else None

    def parse_config(self, text, revision):
        return decoding.parse_config(text, revision)


class _RunnerWithHeartbeats(runner.RunnerWorker):
    """A runner's client together with the server for its heartbeats."""

    def __init__(self, endpoint, read_token, max_hold_ms, heartbeat_endpoint):
        super().__init__(endpoint, read_token, max_hold_ms)
        app = heartbeats.HeartbeatReceiver(self.record_heartbeat)
        self._server = web.Server(
            heartbeat_endpoint.address,
            heartbeat_endpoint.port,
            app,
            _HEARTBEAT_THREADS,
        )

    def __enter__(self):
        self._server.__enter__()
        return super().__enter__()

    def __exit__(self, *exc_info):
        super().__exit__(*exc_info)
        self._server.__exit__(*exc_info)
