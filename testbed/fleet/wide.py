"""The former name of `testbed.fleet.process_fleet`, kept for command lines: `python -m testbed.fleet.wide`."""

import sys

from testbed.fleet.process_fleet import main

if __name__ == "__main__":
    sys.exit(main())
