package cacheproxy.nginx.importer;

import cacheproxy.nginx.Directive;
import cacheproxy.nginx.model.UpstreamBlock;
import cacheproxy.nginx.model.UpstreamBlock.Method;
import java.util.ArrayList;
import java.util.List;

/** Translates the servers of upstreams. */
final class UpstreamServers {
    private final ServerAddresses addresses;
    private final Report report;
    private double slowStartMs;

    UpstreamServers(ServerAddresses addresses, Report report) {
        this.addresses = addresses;
        this.report = report;
    }

    /** Returns the longest {@code slow_start} of all servers so far, in milliseconds; 0 if there is none. */
    double slowStartMs() {
        return slowStartMs;
    }

    /**
     * Translates the servers of an upstream.
     *
     * @param keepsPlacement whether the pool keeps nginx's placement, in which servers that are down keep their share
     *     of the keys
     */
    List<ServerSpec> translate(UpstreamBlock upstream, boolean keepsPlacement) {
        List<ServerSpec> servers = new ArrayList<>();
        for (UpstreamBlock.Server server : upstream.servers()) {
            add(server, upstream.method(), keepsPlacement, servers);
        }
        return servers;
    }

    private void add(UpstreamBlock.Server server, Method method, boolean keepsPlacement, List<ServerSpec> into) {
        String nginxAddress = server.address();
        report.carried(server.directive());
        reportParameters(server);
        String dial = addresses.dialAddress(nginxAddress);
        String name = addresses.name(nginxAddress, dial);
        if (dial != null && nginxAddress.startsWith("localhost") && !addresses.hasDialOverride(nginxAddress)) {
            report.changed(server.directive(), "localhost is taken for 127.0.0.1 alone");
        }
        int existingIndex = indexOf(name, into);
        if (dial == null || !Names.isValid(name)) {
            report.notCarried(
                    server.directive(),
                    unusableReason(nginxAddress) + (server.down() ? "" : ": its keys go to the others"));
            if (keepsPlacement && Names.isValid(name) && existingIndex < 0) {
                into.add(new ServerSpec(name, null, null, server.weight(), server.backup(), true));
            }
        } else if (existingIndex >= 0) {
            into.set(existingIndex, merged(into.get(existingIndex), server, method, existingIndex == into.size() - 1));
        } else {
            String ringName = name.equals(nginxAddress) ? null : nginxAddress;
            into.add(new ServerSpec(name, ringName, dial, server.weight(), server.backup(), server.down()));
        }
    }

    private static int indexOf(String name, List<ServerSpec> servers) {
        for (int i = 0; i < servers.size(); i++) {
            if (servers.get(i).name().equals(name)) {
                return i;
            }
        }
        return -1;
    }

    private static String unusableReason(String nginxAddress) {
        if (nginxAddress.startsWith("unix:")) {
            return "sockets of Unix are not dialled";
        }
        return Names.isValid(nginxAddress)
                ? "'" + nginxAddress + "' is no address, and names are not looked up; give it one by --dial "
                        + nginxAddress + "=ADDRESS:PORT"
                : "its address is not a valid server name";
    }

    /**
     * Merges the two entries of an address that is written twice into one server.
     *
     * @param adjacent whether there is no other server between the two
     */
    private ServerSpec merged(ServerSpec first, UpstreamBlock.Server second, Method method, boolean adjacent) {
        Directive directive = second.directive();
        boolean equalExceptWeight = first.backup() == second.backup()
                && first.down() == second.down()
                && first.placementName().equals(second.address());
        boolean usesRing = method == Method.CONSISTENT_HASH;
        if (!equalExceptWeight || (method == Method.HASH && !adjacent)) {
            report.notCarried(directive, "written a second time; here it is one server, so that some keys move");
        } else if (usesRing) {
            report.changed(
                    directive,
                    "written a second time; here it is one server with the greater weight, whose points on the ring "
                            + "are those of both");
        } else {
            report.changed(directive, "written a second time; here it is one server with the weights of both");
        }
        // On the ring, the points of the lower weight are a subset of those of the higher weight.
        int weight = usesRing ? Math.max(first.weight(), second.weight()) : first.weight() + second.weight();
        return new ServerSpec(
                first.name(),
                first.ringName(),
                first.dial(),
                weight,
                first.backup() && second.backup(),
                first.down() && second.down());
    }

    private void reportParameters(UpstreamBlock.Server server) {
        server.otherParameters().forEach((name, value) -> reportParameter(server.directive(), name, value));
    }

    private void reportParameter(Directive directive, String name, String value) {
        switch (name) {
            case "max_fails", "fail_timeout" ->
                report.changed(
                        directive,
                        name + "=" + value
                                + ": a server is judged by the answers that each proxy gets, not by a count of failures");
            case "slow_start" -> {
                slowStartMs = Math.max(slowStartMs, Durations.parseMs(value));
                report.changed(directive, "slow_start=" + value + ": the longest is the warm_up_ms of all servers");
            }
            case "max_conns" ->
                report.notCarried(
                        directive,
                        "max_conns=" + value
                                + ": a server's connections are limited by its pool's connections, not individually");
            case "resolve", "service" -> report.notCarried(directive, name + ": names are not looked up");
            default -> report.notCarried(directive, "parameter " + name + " is not known here");
        }
    }
}
