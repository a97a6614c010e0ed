"""Run the benchmarks and print a JSON line for each case.

The exit code is 1 if a bound is broken that isn't listed in KNOWN-RED.txt, if a run of
all cases shows that the bounds of an entry in KNOWN-RED.txt hold, or if no case ran.
Otherwise it is 0.
"""

import sys

import loguru
from absl import app, flags

from bench.knownred import KnownRed
from bench.suites import SUITES, get_suite_by_name

_QUICK = flags.DEFINE_bool("quick", False, "Run few seeds, for CI.")
_ONLY = flags.DEFINE_list("only", [], f"Suites to run: {', '.join(SUITES)}.")


def report_obsolete_entries(known: KnownRed, is_complete_run: bool) -> int:
    """Print the entries of KNOWN-RED.txt whose bounds hold, and return their number.

    Only a run of all cases proves that the bounds of an entry hold.
    """
    green = known.green() if is_complete_run else []
    for line in green:
        name = f"bench/{line.case}:{line.figure}"
        print(f"{name} is listed in KNOWN-RED.txt and holds", file=sys.stderr)
    return len(green)


def main(argv: list[str]) -> int:
    """Run the suites and return the exit code."""
    loguru.logger.remove()
    known = KnownRed.from_file()
    broken = ran = red = 0
    for name in _ONLY.value or list(SUITES):
        for case in get_suite_by_name(name).run(_QUICK.value):
            print(case.line(), flush=True)
            ran += 1
            unknown = known.unknown(case)
            broken += bool(unknown)
            red += not case.ok and not unknown
            if unknown:
                print(f"{case.name}: broken {', '.join(unknown)}", file=sys.stderr)
    broken += report_obsolete_entries(known, not _QUICK.value and not _ONLY.value)
    text = f"{ran} cases, {broken} with a broken bound, {red} known red"
    print(text, file=sys.stderr)
    return 1 if broken or not ran else 0


if __name__ == "__main__":
    app.run(main)
