"""How an instance comes up among hundreds: its place in line, the promise it can keep, engines one by one."""
