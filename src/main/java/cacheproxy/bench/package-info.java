/**
 * Measurements of the program on this machine: the hop, routing choices, hooks, leases, quotas, snapshots, siblings and
 * imports. Never part of a running proxy.
 *
 * <p>{@link BenchCommand} runs the benches one after another on its own thread; each prints its rows to the command's
 * output. Fake servers, daemons and clients have an event loop each, so that the CPU time of a daemon's thread can be
 * read apart. Variants that are compared take turns in short windows, so that what drifts with the machine is in all of
 * them.
 */
package cacheproxy.bench;
