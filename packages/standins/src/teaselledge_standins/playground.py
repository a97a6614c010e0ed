"""Run a small fleet until it is interrupted, for trying out `teaselctl`."""

import asyncio
import sys
from pathlib import Path

from absl import app, flags
from teaselledge.log import start_logging

from teaselledge_standins.fleet import OPERATOR, Fleet, key_of, running_fleet

__all__ = ["flag_file", "serve"]

_FOLDER = flags.DEFINE_string(
    "folder", "out/playground", "Where key and flags are put."
)

KEY_FILE = "key"
FLAG_FILE = "flags"


def flag_file(fleet: Fleet, folder: Path) -> Path:
    """Write the operator's key and the flags that name fleet and key."""
    folder.mkdir(parents=True, exist_ok=True)
    key = folder / KEY_FILE
    key.touch(mode=0o600)
    key.write_text(key_of(OPERATOR))
    router = next(iter(fleet.routers.values())).operator_address
    flag_path = folder / FLAG_FILE
    flag_path.write_text(f"--router={router}\n--key_file={key.resolve()}\n")
    return flag_path


def welcome(fleet: Fleet, flag_path: Path) -> str:
    """Return the text with addresses, password and example commands."""
    lines = ["A fleet runs until you press Ctrl-C.", ""]
    for vm, router in fleet.routers.items():
        lines.append(
            f"  {vm}: callers {router.caller_address}, "
            f"status page http://{router.operator_address}/status"
        )
    lines += [
        "",
        f"The page's password is {key_of(OPERATOR)}; any user name will do.",
        "",
        f"  teaselctl status --flagfile={flag_path}",
        f"  teaselctl show --flagfile={flag_path} > document.yaml",
        f"  teaselctl apply document.yaml --base=1 --flagfile={flag_path}",
    ]
    return "\n".join(lines)


async def serve(folder: Path) -> None:
    """Run the fleet until cancelled."""
    async with running_fleet() as fleet:
        print(welcome(fleet, flag_file(fleet, folder)), flush=True)
        await asyncio.Event().wait()


def main(argv: list[str]) -> None:
    """Run until interrupted."""
    start_logging(json=False, level="WARNING")
    try:
        asyncio.run(serve(Path(_FOLDER.value)))
    except KeyboardInterrupt:
        print("ended", file=sys.stderr)


if __name__ == "__main__":
    app.run(main)
