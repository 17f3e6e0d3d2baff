"""TLS for callers and administration.

Certificates are renewed while the daemon runs, so they are reloaded when their
files change; connections that are open keep the certificate they started with.
"""

import contextlib
import dataclasses
import pathlib
import socket
import ssl

import curio
import logbook

from agateshelf import exceptions
from agateshelf.daemon import clock
from agateshelf.documents import settings

_HANDSHAKE_TIMEOUT_SECONDS = 10.0
_CHECK_INTERVAL_SECONDS = 1.0
# SSL_OP_IGNORE_UNEXPECTED_EOF, which the ssl module names from Python 3.12 on.
# Without it, shutting down the reading side of an idle connection makes OpenSSL
# send the caller an error alert.
_IGNORE_UNEXPECTED_EOF = 1 << 7

_log = logbook.Logger("tls")


@dataclasses.dataclass(slots=True)
class Certificates:
    """A certificate and its key, reloaded when their files change.

    Attributes:
        cfg: Paths of the files.
        context: TLS context for new connections.
        modified_ns: Modification times of both files when they were last read,
            in nanoseconds.
        checked_at: Loop time of the last check of the files, in seconds.
    """

    cfg: settings.Tls
    context: ssl.SSLContext
    modified_ns: tuple[int, int]
    checked_at: float

    async def wrap(self, sock: curio.io.Socket) -> curio.io.Socket:
        """Perform the TLS handshake on a connection and return it encrypted.

        Raises:
            OSError: The handshake failed or timed out.
        """
        self._refresh()
        wrapped = curio.io.Socket(
            self.context.wrap_socket(
                sock._socket,  # noqa: SLF001
                server_side=True,
                do_handshake_on_connect=False,
            )
        )
        try:
            async with curio.timeout_after(_HANDSHAKE_TIMEOUT_SECONDS):
                await wrapped.do_handshake()
        except curio.TaskTimeout:
            await wrapped.close()
            raise TimeoutError("TLS handshake timed out") from None
        except OSError:
            await wrapped.close()
            raise
        return wrapped

    def _refresh(self) -> None:
        now = clock.now()
        if now - self.checked_at < _CHECK_INTERVAL_SECONDS:
            return
        self.checked_at = now
        try:
            modified_ns = _modified_ns(self.cfg)
            if modified_ns == self.modified_ns:
                return
            self.context = _create_context(self.cfg)
        except OSError as exc:
            _log.warning(
                "TLS certificate not reloaded, keeping the previous one: {}.",
                exc,
            )
            return
        self.modified_ns = modified_ns
        _log.info("TLS certificate reloaded.")


def create_certificates(cfg: settings.Tls, path: str) -> Certificates:
    """Load a certificate and its key.

    Args:
        cfg: Paths of the files.
        path: JSON Pointer of `cfg` in the settings, for the error.

    Raises:
        DocumentError: A file can't be read, or the key doesn't match.
    """
    try:
        return Certificates(
            cfg, _create_context(cfg), _modified_ns(cfg), clock.now()
        )
    except OSError as exc:
        expected = f"a readable certificate and its matching key ({exc})"
        raise exceptions.DocumentError(path, expected) from None


def _create_context(cfg: settings.Tls) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(cfg.certificate, cfg.key)
    context.options |= _IGNORE_UNEXPECTED_EOF
    context.set_alpn_protocols(["http/1.1"])
    return context


def _modified_ns(cfg: settings.Tls) -> tuple[int, int]:
    certificate = pathlib.Path(cfg.certificate).stat().st_mtime_ns
    key = pathlib.Path(cfg.key).stat().st_mtime_ns
    return certificate, key


def is_secure(sock: curio.io.Socket) -> bool:
    """Return whether a connection is encrypted."""
    return isinstance(sock._socket, ssl.SSLSocket)  # noqa: SLF001


def receive_now(sock: curio.io.Socket, size: int) -> bytes:
    """Return the bytes that have arrived, without waiting for any.

    The end of the stream and errors are left to the next regular read.
    """
    try:
        data: bytes = sock._socket.recv(size)  # noqa: SLF001
    except OSError:
        return b""
    return data


def send_close_notify(sock: curio.io.Socket) -> None:
    """Send the TLS close_notify alert, if the connection is encrypted.

    It must not follow a truncated response: the alert tells the other side that
    everything was sent.
    """
    if not is_secure(sock):
        return
    with contextlib.suppress(OSError, ValueError):
        sock._socket.unwrap()  # noqa: SLF001


def shutdown(sock: curio.io.Socket, how: int) -> None:
    """Shut down one or both directions of a connection.

    `SSLSocket.shutdown` discards the TLS state, after which further data would
    be sent in plain text; this calls the method of the plain socket.

    Raises:
        OSError: The connection is already closed.
    """
    socket.socket.shutdown(sock._socket, how)  # noqa: SLF001
