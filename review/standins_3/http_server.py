"""A small HTTP/1.1 server whose connections can be cut."""

import dataclasses
import json
import socket
import threading


@dataclasses.dataclass
class Request:
    """One request, as it was read from a connection."""

    method: str = ''
    path: str = ''
    headers: dict = None
    body: bytes = b''
    client: str = ''


class Server:
    """Serves until ``close``; ``handle`` takes a Request.

    ``handle`` returns (status, JSON value), or None to close the connection
    without an answer.
    """

    def __init__(self, address, port, handle):
        self._place = (address, port)
        self._handle = handle
        self._lock = threading.Lock()
        self._open = set()
        self._listener = None
        self.listen()

    def listen(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self._place)
        listener.listen(128)
        self._listener = listener
        threading.Thread(
            target=self._accept, args=(listener,), daemon=True
        ).start()

    def close(self):
        """Stop listening and reset all connections, as a killed process."""
        with self._lock:
            listener, self._listener = self._listener, None
            connections, self._open = self._open, set()
        if listener is not None:
            try:
                listener.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            listener.close()
        for one in connections:
            _reset(one)

    def _accept(self, listener):
        while True:
            try:
                conn, client = listener.accept()
            except OSError:
                return
            with self._lock:
                if self._listener is not listener:
                    _reset(conn)
                    return
                self._open.add(conn)
            threading.Thread(
                target=self._serve, args=(conn, client[0]), daemon=True
            ).start()

    def _serve(self, conn, client):
        try:
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with conn.makefile('rb') as source:
                while True:
                    request = _read(source, client)
                    if request is None:
                        return
                    answer = self._handle(request)
                    if answer is None:
                        return
                    status, value = answer
                    raw = json.dumps(value).encode()
                    head = (
                        f'HTTP/1.1 {status} S\r\n'
                        'Content-Type: application/json\r\n'
                        f'Content-Length: {len(raw)}\r\n\r\n'
                    )
                    conn.sendall(head.encode() + raw)
        except (OSError, ValueError):
            pass
        finally:
            with self._lock:
                self._open.discard(conn)
            conn.close()


def _read(source, client):
    line = source.readline()
    if not line:
        return None
    method, path, _ = line.decode().split(' ', 2)
    headers = {}
    while True:
        line = source.readline()
        if line in (b'\r\n', b'\n', b''):
            break
        name, _, value = line.decode().partition(':')
        headers[name.strip().lower()] = value.strip()
    body = b''
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            size = int(source.readline().split(b';')[0], 16)
            body += source.read(size)
            source.readline()
            if not size:
                break
    else:
        body = source.read(int(headers.get('content-length') or 0))
    return Request(method, path, headers, body, client)


def _reset(conn):
    try:
        conn.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_LINGER,
            b'\x01\x00\x00\x00\x00\x00\x00\x00',
        )
        conn.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    conn.close()
