"""TLS for callers and administration, with certificates replaced in place."""

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

_HANDSHAKE_SECONDS = 10.0
_LOOK_SECONDS = 1.0
# The ssl module names this option of OpenSSL from Python 3.12 on. Without it
# the end of reading on an idle connection is told the caller as an error.
_IGNORE_UNEXPECTED_EOF = 1 << 7

_log = logbook.Logger("tls")


@dataclasses.dataclass(slots=True)
class Certificates:
    """A certificate and key, read again when their files change.

    Attributes:
        cfg: Where the files are.
        context: The context for new connections.
        changed: Times of the files' last change as they were read.
        looked: Loop time of the last look at the files.
    """

    cfg: settings.Tls
    context: ssl.SSLContext
    changed: tuple[int, int]
    looked: float

    async def secure(self, sock: curio.io.Socket) -> curio.io.Socket:
        """Return a connection after its handshake.

        Raises:
            OSError: The handshake failed or took too long.
        """
        self._refresh()
        secured = curio.io.Socket(
            self.context.wrap_socket(
                sock._socket,  # noqa: SLF001
                server_side=True,
                do_handshake_on_connect=False,
            )
        )
        try:
            async with curio.timeout_after(_HANDSHAKE_SECONDS):
                await secured.do_handshake()
        except curio.TaskTimeout:
            await secured.close()
            raise TimeoutError("the handshake took too long") from None
        except OSError:
            await secured.close()
            raise
        return secured

    def _refresh(self) -> None:
        now = clock.now()
        if now - self.looked < _LOOK_SECONDS:
            return
        self.looked = now
        try:
            changed = _changed(self.cfg)
            if changed == self.changed:
                return
            self.context = _create_context(self.cfg)
        except OSError as exc:
            _log.warning("Certificate not replaced: {}.", exc)
            return
        self.changed = changed
        _log.info("Certificate replaced.")


def create_certificates(cfg: settings.Tls, path: str) -> Certificates:
    """Read a certificate and its key.

    Args:
        cfg: Where the files are.
        path: Place in the settings, for the error.

    Raises:
        DocumentError: They can't be read or don't belong together.
    """
    try:
        return Certificates(
            cfg, _create_context(cfg), _changed(cfg), clock.now()
        )
    except OSError as exc:
        expected = f"a readable certificate and its key ({exc})"
        raise exceptions.DocumentError(path, expected) from None


def _create_context(cfg: settings.Tls) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(cfg.certificate, cfg.key)
    context.options |= _IGNORE_UNEXPECTED_EOF
    context.set_alpn_protocols(["http/1.1"])
    return context


def _changed(cfg: settings.Tls) -> tuple[int, int]:
    certificate = pathlib.Path(cfg.certificate).stat().st_mtime_ns
    key = pathlib.Path(cfg.key).stat().st_mtime_ns
    return certificate, key


def is_secure(sock: curio.io.Socket) -> bool:
    """Return whether a connection is encrypted."""
    return isinstance(sock._socket, ssl.SSLSocket)  # noqa: SLF001


def say_goodbye(sock: curio.io.Socket) -> None:
    """Tell an encrypted connection's other side that this end is a clean one.

    Never to be said after an answer that was cut short.
    """
    if not is_secure(sock):
        return
    with contextlib.suppress(OSError, ValueError):
        sock._socket.unwrap()  # noqa: SLF001


def shut(sock: curio.io.Socket, how: int) -> None:
    """Shut a side of a connection, encrypted or not.

    An encrypted socket's own method drops the encryption and would go on in
    plain text.

    Raises:
        OSError: The connection is gone.
    """
    socket.socket.shutdown(sock._socket, how)  # noqa: SLF001
