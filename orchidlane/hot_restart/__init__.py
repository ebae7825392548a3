"""Hot restart: a gateway's listeners, connections and state pass to a new process. Pure, no I/O.

``old_process`` and ``new_process`` are the two sides as state machines, ``messages`` what they send each
other, ``pre_copy`` how tables that go on changing are copied, ``probation`` the judgement on a new process,
``rolling_upgrade`` the order in which a fleet is upgraded. ``orchidlane.gateway.lifecycle.hot_restart`` and
``orchidlane.cli.roll`` carry it out.
"""
