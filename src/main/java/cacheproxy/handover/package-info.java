/**
 * Passes a listening socket from a running process to its successor over a Unix domain socket in a shared folder
 * (SCM_RIGHTS, unix(7)). Both processes then accept connections from one queue, so that no connection which the kernel
 * has queued is reset when the predecessor stops. With SO_REUSEPORT each process would have its own queue, whose
 * connections are reset when the process ends.
 *
 * <p>{@link cacheproxy.handover.HandoverReceiver} receives the socket, {@link cacheproxy.handover.Handover} offers it.
 * The successor keeps its connection open for as long as it runs, so that the predecessor knows whether it has a
 * successor. The state of an offer is owned by the event loop that it is created with.
 */
package cacheproxy.handover;
