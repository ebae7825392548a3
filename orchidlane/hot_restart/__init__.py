"""Hot restart: a gateway's listeners, connections and state pass to a new process. Pure, no I/O.

``old_process`` and ``new_process`` are the state machines of the two processes. ``handshake`` decides which
process may take part, and ``messages`` defines the protocol between the two. ``pre_copy`` copies tables while
they change, ``tables`` defines these tables, and ``probation`` decides whether the new process is degraded.
``rolling_upgrade`` upgrades a fleet in the batches that ``rolling_batches`` selects. ``account_recovery``
restores accounts after a restart in which no process handed over its state.
``orchidlane.gateway.lifecycle`` and ``orchidlane.cli.roll`` carry out the decisions.
"""
