"""Tests of TLS towards callers, with real processes and new certificates."""

import contextlib
import os
import signal
import ssl
import subprocess
import time

import pytest
from tests.daemon import small_system

from agateshelf_standins import system


def make_certificate(directory, name):
    certificate = directory / "certificate.pem"
    key = directory / "key.pem"
    command = "openssl req -x509 -newkey ec -nodes -days 1"
    command += f" -pkeyopt ec_paramgen_curve:prime256v1 -subj /CN={name}"
    command += f" -keyout {key} -out {certificate}"
    subprocess.run(command.split(), check=True, capture_output=True)
    return {"certificate": str(certificate), "key": str(key)}


def connect(small):
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    with small.connect() as plain:
        return context.wrap_socket(plain)


def request(sock):
    sock.sendall(b"GET /recall/1 HTTP/1.1\r\nHost: h\r\n\r\n")
    return sock.recv(65536)


def test_certificate_is_reloaded_without_a_restart(local_system, tmp_path):
    files = make_certificate(tmp_path, "first")
    port = system.free_port()
    small = small_system.start(
        local_system, callers={"port": port, "tls": files}
    )
    first = connect(small)
    before = first.getpeercert(binary_form=True)
    assert b" 200 " in request(first)
    make_certificate(tmp_path, "second")
    os.utime(files["key"])
    time.sleep(1.1)
    second = connect(small)
    assert second.getpeercert(binary_form=True) != before
    assert b" 200 " in request(second)
    assert b" 200 " in request(first)
    with small.connect() as plain:
        plain.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        with contextlib.suppress(ConnectionResetError):
            assert not plain.recv(100).startswith(b"HTTP")
    small.entry.process.popen.send_signal(signal.SIGTERM)
    assert second.recv(100) == b""
    assert small.entry.process.popen.wait(5) == 0


def test_unreadable_certificate_ends_the_start_with_status_2(
    local_system, tmp_path
):
    port = system.free_port()
    files = {"certificate": str(tmp_path / "no"), "key": str(tmp_path / "no")}
    with pytest.raises(system.StartError, match="status 2"):
        small_system.start(local_system, callers={"port": port, "tls": files})
