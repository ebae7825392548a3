"""Fleet-wide configuration versions, agreed on by a quorum and adopted by every gateway.

The modules decide without I/O; ``gateway/rollout_agent`` carries out what they decide. ``version`` names
contents by hash and certifies versions, ``consensus`` agrees on one replicated state after another
(CASPaxos), ``replicated_state`` is that state and ``commands`` its transitions, ``leader`` elects a leader
and ``rollout_driver`` chooses the leader's next command, ``dissemination`` spreads the state and grants
leases, ``compatibility`` tells which versions may serve side by side, ``phases`` and ``canary_analysis``
stage a rollout, ``rollback`` reverts edits, ``shard_migration`` moves customers between replica sets and
``bootstrap`` creates the first state.
"""
