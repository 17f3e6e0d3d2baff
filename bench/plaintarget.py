"""A target with a fixed response, so cheap that it is not the bottleneck."""

import curio
import curio.network

_READ_BYTES = 65536
_HEAD_END = b"\r\n\r\n"
_ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    b"Target-Load: in-flight=1, queued=0, slots=2\r\n"
    b'Content-Length: 15\r\n\r\n{"recall":true}'
)


async def _serve(sock: curio.io.Socket) -> None:
    async with sock:
        while data := await sock.recv(_READ_BYTES):
            await sock.sendall(_ANSWER * data.count(_HEAD_END))


async def main() -> None:
    """Answer requests until killed; request bodies are not supported."""
    listener = curio.network.tcp_server_socket("127.0.0.1", 0, backlog=128)
    print(f"listening on 127.0.0.1:{listener.getsockname()[1]}", flush=True)
    while True:
        sock, _ = await listener.accept()
        await curio.spawn(_serve, sock, daemon=True)


if __name__ == "__main__":
    curio.run(main)
