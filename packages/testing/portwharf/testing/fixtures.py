# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Fixtures shared by tests: the real adapters on fakes, without sockets.

Each fixture is a context manager, to be passed to ``case.enterContext``, or
a plain function.
"""

import dataclasses
import io
import pathlib
import tempfile

import prometheus_client

from portwharf.core import data
from portwharf.core import web
from portwharf import store
from portwharf.testing import certificates
from portwharf.testing import fake_store


@dataclasses.dataclass(slots=True)
class Response:
    """The part of a ``urllib3`` response that the adapters use."""

    status: int = 0
    data: bytes = b''
    headers: dict = dataclasses.field(default_factory=dict)


class WsgiPool:
    """Replaces a ``urllib3`` pool: calls a WSGI application directly.

    :cvar pool: None, as there are no pooled connections
    :ivar app: the application
    :ivar environ: further values of the WSGI environment
    """

    pool = None

    def __init__(self, app):
        self.app = app
        self.environ = {}

    def request(self, method, path, body=b'', headers=None, **_):
        """Call the application and return its :class:`Response`."""
        payload = body.encode() if isinstance(body, str) else body or b''
        response = Response()
        environ = {
            **self.environ,
            'REQUEST_METHOD': method,
            'PATH_INFO': path,
            'CONTENT_LENGTH': str(len(payload)),
            'wsgi.input': io.BytesIO(payload),
        }
        for name, value in (headers or {}).items():
            environ_name = 'HTTP_' + name.upper().replace('-', '_')
            environ[environ_name] = value

        def start_response(status, header_pairs):
            response.status = int(status.split()[0])
            response.headers = dict(header_pairs)

        response.data = b''.join(self.app(environ, start_response))
        return response

    def close(self):
        """Do nothing; there are no connections."""


def open_store(pool):
    """Return the real store adapter, using a pool."""
    return store.EtcdStore(pool)


def make_store(fake=None):
    """Return the real store adapter on a fake store, and the fake.

    :param fake: None for a new one
    """
    fake = fake or fake_store.FakeStore()
    return store.EtcdStore(WsgiPool(fake)), fake


def serve(case, app, threads=4):
    """Serve a WSGI application on a free loopback port; returns the port."""
    server = web.Server('127.0.0.1', 0, app, threads)
    case.enterContext(server)
    return server.port


def read_counter(name, **labels):
    """Return the value of a counter, 0 if it has not counted anything."""
    found = prometheus_client.REGISTRY.get_sample_value(
        f'{name}_total', labels
    )
    return found or 0.0


def make_workload(**fields):
    """Return a valid batch ``data.Workload``; fields override its values."""
    values = {
        'name': 'plans',
        'team': 'lens',
        'kind': data.Kind.BATCH,
        'resources': data.Resources(1000, 1000),
        'count': 1,
        'program': 'surface-plan',
    }
    values.update(fields)
    return data.Workload(**values)


def make_vm(number, **fields):
    """Return the endpoint VM of this number; fields override its values."""
    vm = data.Vm(f'vm-{number:02d}', '127.0.0.1', 1000 + number)
    vm.availability_zone = f'zone-{number % 3}'
    vm.rack = f'rack-{number // 3}'
    for name, value in fields.items():
        setattr(vm, name, value)
    return vm


def make_authority(case):
    """Create a certificate authority in a temporary folder.

    :returns: function that issues a certificate for a name and returns its
        ``tls.TlsFiles``
    """
    folder = pathlib.Path(case.enterContext(tempfile.TemporaryDirectory()))
    return certificates.Authority(folder).issue
