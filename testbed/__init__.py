"""Stand-ins for what lies outside: lodge nodes, the registry.  Each runs alone, `python -m testbed.NAME`.

They speak the published protocols with code of their own, so that a misreading in topazbank does not cancel out.
"""
