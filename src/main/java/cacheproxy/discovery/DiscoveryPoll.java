package cacheproxy.discovery;

/**
 * A poll of discovery that is to be sent.
 *
 * @param waitMs how long discovery may hold the poll until the list changes, in milliseconds
 * @param timeoutMs after which the poll has failed, {@code waitMs} included, in milliseconds
 */
public record DiscoveryPoll(int waitMs, double timeoutMs) {}
