"""Many processes of the program as one tier, with faults between any two: on sockets and in played time.

python -m testbed.cluster [SCENE ...] --sidecars N --seed S [--played]
"""
