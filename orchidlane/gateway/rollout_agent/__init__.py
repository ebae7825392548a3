"""The shell of fleet versions: datagrams, files, contents by hash; ``orchidlane.rollout`` decides."""
