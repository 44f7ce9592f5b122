"""The adapter that hosts decision modules on a simulator's wire, and that wire's codec."""
