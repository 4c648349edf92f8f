package cacheproxy.config;

import java.net.InetSocketAddress;

/**
 * {@code [[pool.server]]} or {@code [pool.origin]}: a server of a pool.
 *
 * @param id hash of the name, the same at every proxy
 * @param address null where the server is down and has none
 * @param backup whether it is used only if no other server can be used
 * @param warm whether it has been running for a long time although it is new in the file
 * @param capacity requests per second when warm; 0 if unknown
 * @param ring text that stands for the server in nginx's consistent placement
 */
public record ServerConfig(
        String name,
        int id,
        InetSocketAddress address,
        String zone,
        String kind,
        double weight,
        boolean backup,
        boolean down,
        boolean drain,
        boolean warm,
        double capacity,
        String ring) {}
