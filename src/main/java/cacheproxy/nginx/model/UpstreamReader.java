package cacheproxy.nginx.model;

import cacheproxy.nginx.Directive;
import cacheproxy.nginx.model.UpstreamBlock.Method;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads {@code upstream} blocks. */
final class UpstreamReader {
    private static final int MAX_WEIGHT = 1_000_000;

    private final Map<String, UpstreamBlock> upstreams;
    private final List<HttpModel.Fault> faults;

    UpstreamReader(Map<String, UpstreamBlock> upstreams, List<HttpModel.Fault> faults) {
        this.upstreams = upstreams;
        this.faults = faults;
    }

    /** Adds an upstream, unless it has no name or its name is already taken. */
    void read(Directive directive) {
        String name = directive.arg(0);
        if (directive.block() == null || name.isEmpty()) {
            reject(directive, "an upstream needs a name and a block");
            return;
        }
        if (upstreams.containsKey(name)) {
            int line = upstreams.get(name).directive().position().line();
            reject(directive, "duplicate upstream \"" + name + "\"; the first, of line " + line + ", is taken");
            return;
        }
        upstreams.put(name, block(name, directive));
    }

    private UpstreamBlock block(String name, Directive directive) {
        Method method = Method.ROUND_ROBIN;
        Directive methodDirective = null;
        List<UpstreamBlock.Server> servers = new ArrayList<>();
        for (Directive inner : directive.block()) {
            Method directiveMethod = method(inner);
            if (directiveMethod != null) {
                if (methodDirective != null) {
                    faults.add(new HttpModel.Fault(inner, "load balancing method redefined; the last holds"));
                }
                method = directiveMethod;
                methodDirective = inner;
            } else if (inner.name().equals("server")) {
                // nginx checks a server's parameters against the last method directive before that server.
                readServer(inner, allowsBackups(method), servers);
            }
        }
        return new UpstreamBlock(name, directive, method, methodDirective, servers);
    }

    /** Returns the method that a directive sets; null if it sets none. */
    private static Method method(Directive directive) {
        return switch (directive.name()) {
            case "hash" -> directive.arg(1).equals("consistent") ? Method.CONSISTENT_HASH : Method.HASH;
            case "ip_hash" -> Method.IP_HASH;
            case "least_conn" -> Method.LEAST_CONN;
            case "random" -> Method.RANDOM;
            case "least_time", "sticky", "fair" -> Method.OTHER;
            default -> null;
        };
    }

    private static boolean allowsBackups(Method method) {
        return method == Method.ROUND_ROBIN || method == Method.LEAST_CONN || method == Method.OTHER;
    }

    private void readServer(Directive directive, boolean backupsAllowed, List<UpstreamBlock.Server> into) {
        int weight = 1;
        boolean backup = false;
        boolean down = false;
        Map<String, String> others = new LinkedHashMap<>();
        for (String parameter : directive.args().stream().skip(1).toList()) {
            if (parameter.equals("backup")) {
                backup = true;
                if (!backupsAllowed) {
                    reject(directive, "balancing method does not support parameter \"backup\"; it stays a backup here");
                }
            } else if (parameter.equals("down")) {
                down = true;
            } else if (parameter.startsWith("weight=")) {
                weight = weight(parameter);
                if (weight < 1) {
                    reject(
                            directive,
                            "invalid parameter \"" + parameter + "\"; the server is kept as down, with weight 1");
                    weight = 1;
                    down = true;
                }
            } else {
                addOther(parameter, others);
            }
        }
        if (directive.args().isEmpty()) {
            reject(directive, "it has no address");
            return;
        }
        into.add(new UpstreamBlock.Server(directive.arg(0), weight, backup, down, others, directive));
    }

    private static void addOther(String parameter, Map<String, String> others) {
        int equalsAt = parameter.indexOf('=');
        if (equalsAt > 0) {
            others.put(parameter.substring(0, equalsAt), parameter.substring(equalsAt + 1));
        } else {
            others.put(parameter, "");
        }
    }

    /** Returns the number in {@code weight=NUMBER}; 0 if it is not a number from 1 to {@link #MAX_WEIGHT}. */
    private static int weight(String parameter) {
        String digits = parameter.substring("weight=".length());
        return digits.matches("[0-9]{1,7}") && Integer.parseInt(digits) <= MAX_WEIGHT ? Integer.parseInt(digits) : 0;
    }

    private void reject(Directive directive, String reason) {
        faults.add(HttpModel.rejected(directive, reason));
    }
}
