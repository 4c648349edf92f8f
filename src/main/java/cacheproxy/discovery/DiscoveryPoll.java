package cacheproxy.discovery;

/**
 * A poll of discovery that is to be sent.
 *
 * @param waitMs how long discovery may hold the poll until the list changes, in milliseconds
 * @param timeoutMs the time after which the poll counts as failed, including {@code waitMs}, in milliseconds
 */
public record DiscoveryPoll(int waitMs, double timeoutMs) {}
