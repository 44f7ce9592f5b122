"""State machines by the thousand in simulated time, on the simulated links of fault_injection."""
