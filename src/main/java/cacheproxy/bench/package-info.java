/**
 * Measurements of the program on this machine: hop cost, choices, hooks, leases, quotas, snapshots, siblings. Never
 * part of a running proxy.
 */
package cacheproxy.bench;
