"""The laboratory: stand-ins for nodes, node list and clients, faults, scripted days, and their audit."""
