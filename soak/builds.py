"""The build that an upgrade begins with, from the repository's history."""

import pathlib
import subprocess
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent


def production_commit() -> str:
    """Return the commit that `production` in deploy/system.toml names."""
    document = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    return str(document["production"])


def extract(directory: pathlib.Path) -> pathlib.Path | None:
    """Write the source tree of the production build to a directory.

    Returns:
        The source tree; None if the history of this clone lacks the commit.

    Raises:
        subprocess.CalledProcessError: git or tar failed.
    """
    commit = production_commit()
    git = ["git", "-C", str(ROOT)]
    found = subprocess.run(
        [*git, "cat-file", "-e", f"{commit}^{{commit}}"],
        check=False,
        capture_output=True,
    )
    if found.returncode:
        return None
    archive = subprocess.run(
        [*git, "archive", commit, "src"], check=True, capture_output=True
    )
    unpack = ["tar", "-x", "-C", str(directory)]
    subprocess.run(unpack, check=True, input=archive.stdout)
    return directory / "src"
