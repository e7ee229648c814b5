"""What the project emulates, breaks and measures: stand-ins, fault links, drills; see docs/lab.md."""
