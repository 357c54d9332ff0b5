"""A randomized soak test: real entry processes, with faults injected from outside of them.

Each run draws its faults from a seed. Connections through loopback proxies are delayed, reset, cut
in one direction or silenced; processes are stopped, paused, killed and restarted by signals; the
store, the workers and the machines fail. Each run checks the answers that callers get and the
orders that workers get. The soak starts the entry processes, ends them by their process ids and
uses loopback addresses only.
"""
