# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What a side meets on the users' platform."""

from portwharf.core import web
from portwharf.platform import advice
from portwharf.platform import beats
from portwharf.platform import kv
from portwharf.platform import routes
from portwharf.platform import runner
from portwharf.side import outside
from portwharf import vmlist

# How long a start waits for the registration, which gives the token.
_TOKEN_SECONDS = 0.1
_BEAT_THREADS = 2


class PlatformOutside(outside.Outside):
    """Opens the platform's store, register and runner."""

    config_key = routes.CONFIG_KEY
    zones_prefix = routes.ZONES_PREFIX

    def __init__(self, settings):
        """Take a ``boot.Boot``."""
        self._boot = settings
        self._registration = None

    def open_store(self, clock):
        return kv.open_shared(self._boot, clock)

    def open_vm_list(self, kv):
        self._registration = vmlist.Registration(kv, self._boot.vm)
        return self._registration

    def open_worker(self):
        place = self._boot.runner
        return _RunnerWithBeats(
            place,
            self._read_token,
            self._boot.max_hold_ms,
            self._boot.beats,
        )

    def _read_token(self):
        """Return the fencing token, or 0; at a start it is soon there."""
        self._registration.registered.wait(_TOKEN_SECONDS)
        return self._registration.token

    def open_policy(self):
        place = self._boot.advice
        return advice.AdviceService(place) if place is not None else None

    def parse_config(self, text, revision):
        return routes.parse_config(text, revision)


class _RunnerWithBeats(runner.RunnerWorker):
    """A runner's client together with the server of its heartbeats."""

    def __init__(self, place, read_token, max_hold_ms, beats_at):
        super().__init__(place, read_token, max_hold_ms)
        app = beats.Beats(self.take_life)
        self._server = web.Server(
            beats_at.address, beats_at.port, app, _BEAT_THREADS
        )

    def __enter__(self):
        self._server.__enter__()
        return super().__enter__()

    def __exit__(self, *exc_info):
        super().__exit__(*exc_info)
        self._server.__exit__(*exc_info)
