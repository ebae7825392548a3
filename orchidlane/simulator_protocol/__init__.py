"""Adapter for the operators' simulator: reads frames of events, runs policies, writes frames of actions.

``codec`` decodes and encodes the frames, ``settings_json`` parses a gateway's settings, and ``process`` is
the program that the simulator starts. Only these modules contain the protocol's own names of fields and
values. They import the standard library and the policy only.
"""
