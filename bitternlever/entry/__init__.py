"""The entry program, which serves callers, operators and upstreams on a host.

Its core makes all decisions in ticks over tables, without I/O or clocks. Its shell
does the I/O around the core.
"""
