"""Test harnesses that run the real application against fakes, inject seeded faults and check guarantees."""
