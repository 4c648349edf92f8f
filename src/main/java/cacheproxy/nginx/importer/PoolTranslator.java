package cacheproxy.nginx.importer;

import cacheproxy.nginx.Directive;
import cacheproxy.nginx.model.UpstreamBlock;
import cacheproxy.nginx.model.UpstreamBlock.Method;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Makes pools of upstreams, and of addresses that requests are passed to without one. */
final class PoolTranslator {
    /**
     * A server to be written.
     *
     * @param ring null: its name
     * @param dial null: none, it is down
     */
    record ServerSpec(String name, String ring, String dial, int weight, boolean backup, boolean down) {}

    /**
     * A pool to be written.
     *
     * @param placeBy null: the key
     */
    record PoolSpec(String name, String placement, String placeBy, List<ServerSpec> servers, Directive directive) {}

    private static final int DEFAULT_PORT = 80;

    private final ImportOptions options;
    private final Report report;
    private final Map<String, PoolSpec> pools = new LinkedHashMap<>();
    /** Null for those that can't be had. */
    private final Map<String, PoolSpec> byAuthority = new HashMap<>();

    private final Map<String, String> nameOfAddress = new HashMap<>();
    private double slowStartMs;

    PoolTranslator(ImportOptions options, Report report) {
        this.options = options;
        this.report = report;
    }

    Map<String, PoolSpec> pools() {
        return pools;
    }

    /** The longest {@code slow_start}; 0: none. */
    double slowStartMs() {
        return slowStartMs;
    }

    static boolean word(String text) {
        return !text.isEmpty()
                && text.length() <= 64
                && text.chars().allMatch(c -> c > ' ' && c <= '~' && c != ',' && c != '=');
    }

    // ---- upstreams

    void upstream(UpstreamBlock u) {
        report.carried(u.directive());
        String placement = "carp";
        String by = null;
        Directive m = u.methodAt();
        switch (u.method()) {
            case HASH, CONSISTENT_HASH -> {
                by = key(u);
                if (by == null) {
                    report.not(m, "keys do not tell " + u.key() + ": servers are chosen by CARP over the key");
                } else {
                    placement = u.method() == Method.HASH ? "nginx-hash" : "nginx-consistent";
                    report.carried(m);
                }
            }
            case ROUND_ROBIN ->
                report.changed(
                        u.directive(),
                        "each key gets one server by CARP, instead of the next in " + "turn; weights hold");
            default ->
                report.changed(
                        m,
                        "each key gets one server by CARP over weights, instead of "
                                + (u.method() == Method.IP_HASH
                                        ? "each client"
                                        : "the one that is chosen at the moment"));
        }
        boolean ring = !placement.equals("carp");
        List<ServerSpec> servers = new ArrayList<>();
        for (UpstreamBlock.Server s : u.servers()) {
            server(u, s, ring, servers);
        }
        boolean usable = servers.stream().anyMatch(s -> !s.down() && !s.backup());
        if (!usable || !word(u.name())) {
            report.not(
                    u.directive(),
                    !word(u.name())
                            ? "its name is no name for a pool; requests to it fail"
                            : "none of its servers can be used; requests to it fail");
            byAuthority.put(u.name(), null);
            return;
        }
        PoolSpec pool = new PoolSpec(u.name(), placement, "${key}".equals(by) ? null : by, servers, u.directive());
        pools.put(u.name(), pool);
        byAuthority.put(u.name(), pool);
    }

    private static String key(UpstreamBlock u) {
        List<Expression.Part> parts = new ArrayList<>();
        for (Expression.Part p : Expression.of(u.key()).parts()) {
            // The name that requests are passed to is that of the upstream.
            parts.add(p.variable() && p.text().equals("proxy_host") ? new Expression.Part(false, u.name()) : p);
        }
        return u.key().isEmpty() ? null : Values.placeBy(Expression.joined(parts));
    }

    private void server(UpstreamBlock u, UpstreamBlock.Server s, boolean ring, List<ServerSpec> into) {
        Directive d = s.directive();
        report.carried(d);
        parameters(s);
        String dial = dial(s.address());
        String name = name(s.address(), dial);
        if (dial != null
                && s.address().startsWith("localhost")
                && !options.dial().containsKey(s.address())) {
            report.changed(d, "localhost is taken for 127.0.0.1 alone");
        }
        if (dial == null || !word(name)) {
            report.not(
                    d,
                    (s.address().startsWith("unix:")
                                    ? "sockets of Unix are not dialled"
                                    : word(s.address())
                                            ? "'" + s.address()
                                                    + "' is no address, and names are not looked up; give it one by --dial "
                                                    + s.address() + "=ADDRESS:PORT"
                                            : "its address is no name for a server")
                            + (s.down() ? "" : ": its keys go to the others"));
            if (ring && word(name) && into.stream().noneMatch(o -> o.name().equals(name))) {
                into.add(new ServerSpec(name, null, null, s.weight(), s.backup(), true));
            }
            return;
        }
        for (int i = 0; i < into.size(); i++) {
            if (into.get(i).name().equals(name)) {
                into.set(i, merged(u, into.get(i), s, i == into.size() - 1));
                return;
            }
        }
        into.add(new ServerSpec(
                name, name.equals(s.address()) ? null : s.address(), dial, s.weight(), s.backup(), s.down()));
    }

    /** One server of an address that is written twice. */
    private ServerSpec merged(UpstreamBlock u, ServerSpec first, UpstreamBlock.Server again, boolean adjacent) {
        boolean same = first.backup() == again.backup()
                && first.down() == again.down()
                && (first.ring() == null ? first.name() : first.ring()).equals(again.address());
        boolean consistent = u.method() == Method.CONSISTENT_HASH;
        if (!same || (u.method() == Method.HASH && !adjacent)) {
            report.not(again.directive(), "written a second time; here it is one server, so that some keys move");
        } else {
            report.changed(
                    again.directive(),
                    "written a second time; here it is one server "
                            + (consistent
                                    ? "with the greater weight, whose points on the ring are those of both"
                                    : "with the weights of both"));
        }
        // On the ring the points of the lesser weight are among those of the greater.
        int weight = consistent ? Math.max(first.weight(), again.weight()) : first.weight() + again.weight();
        return new ServerSpec(
                first.name(),
                first.ring(),
                first.dial(),
                weight,
                first.backup() && again.backup(),
                first.down() && again.down());
    }

    private void parameters(UpstreamBlock.Server s) {
        s.otherParameters().forEach((name, value) -> {
            switch (name) {
                case "max_fails", "fail_timeout" ->
                    report.changed(
                            s.directive(),
                            name + "=" + value
                                    + ": a server is judged by the answers that each proxy gets, not by a count of failures");
                case "slow_start" -> {
                    double ms = Durations.ms(value);
                    slowStartMs = Math.max(slowStartMs, ms);
                    report.changed(
                            s.directive(), "slow_start=" + value + ": the longest is the warm_up_ms of all servers");
                }
                case "max_conns" ->
                    report.not(
                            s.directive(),
                            "max_conns=" + value
                                    + ": a server's connections are bounded by its pool's connections, not one by one");
                case "resolve", "service" -> report.not(s.directive(), name + ": names are not looked up");
                default -> report.not(s.directive(), "parameter " + name + " is not known here");
            }
        });
    }

    /** Where a server is reached; null where that is not told. */
    private String dial(String address) {
        String told = options.dial().get(address);
        if (told != null) {
            return told;
        }
        if (address.matches("localhost(:[0-9]{1,5})?")) {
            return dial("127.0.0.1" + address.substring("localhost".length())); // RFC 6761, section 6.3
        }
        if (address.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}(:[0-9]{1,5})?")
                || address.matches("\\[[0-9a-fA-F:.]+](:[0-9]{1,5})?")) {
            String full = address.matches(".*(]|\\.[0-9]+):[0-9]+") ? address : address + ":" + DEFAULT_PORT;
            int port = Integer.parseInt(full.substring(full.lastIndexOf(':') + 1));
            boolean octets = address.startsWith("[")
                    || java.util.Arrays.stream(
                                    full.substring(0, full.lastIndexOf(':')).split("\\."))
                            .allMatch(o -> Integer.parseInt(o) < 256);
            return port > 0 && port < 65536 && octets ? full : null;
        }
        return null;
    }

    /** A server has one name, that under which its address is written first. */
    private String name(String address, String dial) {
        return dial == null ? address : nameOfAddress.computeIfAbsent(dial, d -> address);
    }

    // ---- what requests are passed to

    /** The pool that a {@code proxy_pass} names; null, after a report, where there is none. */
    PoolSpec of(String authority, Directive at) {
        if (byAuthority.containsKey(authority)) {
            PoolSpec p = byAuthority.get(authority);
            if (p == null) {
                report.not(at, "upstream " + authority + " could not be carried over; these requests fail");
            }
            return p;
        }
        String dial = dial(authority);
        PoolSpec pool = null;
        if (dial == null || !word(authority)) {
            report.not(
                    at,
                    authority.startsWith("unix:")
                            ? "sockets of Unix are not dialled; these requests fail"
                            : "there is no upstream '" + authority
                                    + "', and names are not looked up; these requests fail. Give it "
                                    + "an address by --dial " + authority + "=ADDRESS:PORT");
        } else {
            String name = name(authority, dial);
            pool = new PoolSpec(
                    authority, "carp", null, List.of(new ServerSpec(name, null, dial, 1, false, false)), at);
            pools.put(authority, pool);
        }
        byAuthority.put(authority, pool);
        return pool;
    }
}
