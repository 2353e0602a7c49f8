"""Emulators of a sidecar's environment, harnesses that run fleets of sidecars, and invariants that check the runs.

Each emulator also runs as a program: `python -m testbed.backend`, `.registry`, `.zookeeper`.  The emulators implement
the published protocols independently and import none of the logic under test.  A misread specification in topazbank
therefore shows up as a failure.
"""
