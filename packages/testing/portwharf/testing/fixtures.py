# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What tests share: the real adapters on stand-ins, without sockets.

Each fixture is a context manager or a plain function; a test takes it by
``case.enterContext`` or calls it.
"""

import dataclasses
import io
import pathlib
import tempfile

from portwharf.core import data
from portwharf.core import web
from portwharf import store
from portwharf.testing import certificates
from portwharf.testing import kv


@dataclasses.dataclass(slots=True)
class Response:
    """An HTTP response as ``urllib3`` would give it."""

    status: int = 0
    data: bytes = b''
    headers: dict = dataclasses.field(default_factory=dict)


class WsgiPool:
    """Calls a WSGI application as if by ``urllib3``, in this thread.

    :cvar pool: no connections are kept
    """

    pool = None

    def __init__(self, app):
        self._app = app

    def request(self, method, path, body=b'', headers=None, **_):
        """Make one request and return the whole response."""
        raw = body.encode() if isinstance(body, str) else body or b''
        response = Response()
        environ = {
            'REQUEST_METHOD': method,
            'PATH_INFO': path,
            'CONTENT_LENGTH': str(len(raw)),
            'wsgi.input': io.BytesIO(raw),
        }
        for name, value in (headers or {}).items():
            key = 'HTTP_' + name.upper().replace('-', '_')
            environ[key] = value

        def start_response(status, pairs):
            response.status = int(status.split()[0])
            response.headers = dict(pairs)

        response.data = b''.join(self._app(environ, start_response))
        return response

    def close(self):
        """There is nothing to close."""


def open_store(pool):
    """Return the real store adapter on a pool."""
    return store.EtcdStore(pool)


def make_store(standin=None):
    """Return the real store adapter on a stand-in, and the stand-in."""
    standin = standin or kv.StoreStandIn()
    return store.EtcdStore(WsgiPool(standin)), standin


def serve(case, app, threads=4):
    """Serve a WSGI application on a free loopback port; returns the port."""
    server = web.Server('127.0.0.1', 0, app, threads)
    case.enterContext(server)
    return server.port


def make_workload(**fields):
    """Return a batch job that is right, with some fields otherwise."""
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
    """Return an endpoint VM of a shard, by its number."""
    vm = data.Vm(f'vm-{number:02d}', '127.0.0.1', 1000 + number)
    vm.availability_zone = f'zone-{number % 3}'
    vm.rack = f'rack-{number // 3}'
    for name, value in fields.items():
        setattr(vm, name, value)
    return vm


def make_authority(case):
    """Make an authority and certificates signed by it, in a folder.

    :returns: function of a name giving ``tls.TlsFiles``
    """
    folder = pathlib.Path(case.enterContext(tempfile.TemporaryDirectory()))
    return certificates.Authority(folder).issue
