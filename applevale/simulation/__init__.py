"""State machines by the thousand in simulated time, with the fates of faults/ as their network."""
