"""Finds the process at the other end of a loopback connection, in /proc."""

import os
import pathlib

_LOCAL_ADDRESS = 1
_INODE = 9


def inode_of_port(port: int) -> str:
    """Return the inode of the socket with a local TCP port, or nothing."""
    suffix = f":{port:04X}"
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[_LOCAL_ADDRESS].endswith(suffix) and fields[_INODE] != "0":
            return fields[_INODE]
    return ""


def has_socket(process: int, inode: str) -> bool:
    """Return whether a process has the socket with an inode open."""
    directory = f"/proc/{process}/fd"
    link = f"socket:[{inode}]"
    try:
        names = os.listdir(directory)
    except OSError:
        return False
    for name in names:
        try:
            if os.readlink(f"{directory}/{name}") == link:
                return True
        except OSError:
            continue
    return False
