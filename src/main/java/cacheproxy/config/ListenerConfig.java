package cacheproxy.config;

import java.net.InetSocketAddress;

/**
 * {@code [[listen]]}: an address to which clients connect.
 *
 * @param open whether plain commands of standard clients are accepted
 * @param readClass service class of reads that name none; null if they must name one
 * @param writeClass service class of writes that name none; null if they must name one
 * @param tenant tenant of requests that name none; null if they must name one
 * @param deadlineMs deadline of requests that name none; 0 for the deadline of their class
 */
public record ListenerConfig(
        String name,
        InetSocketAddress address,
        boolean open,
        String readClass,
        String writeClass,
        String tenant,
        double deadlineMs) {}
