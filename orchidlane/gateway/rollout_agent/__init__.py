"""One gateway's part in fleet versions: datagrams, files, adoption; ``orchidlane.rollout`` decides."""
