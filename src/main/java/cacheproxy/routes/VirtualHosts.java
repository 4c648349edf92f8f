package cacheproxy.routes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Finds the configured host that a request is for, in the order that nginx documents for {@code server_name}: an exact
 * name, the longest name that begins with {@code *.}, the longest that ends with {@code .*}, the first pattern in the
 * file's order, the listener's default host. Names are found by hash; patterns are tried one after another. Immutable.
 */
public final class VirtualHosts {
    /** No hosts. */
    public static final VirtualHosts NONE = new VirtualHosts(List.of());

    private final List<Host> hosts;
    private final Map<String, ListenerHosts> byListener = new HashMap<>();
    private final ListenerHosts otherListeners = new ListenerHosts();

    /**
     * A configured host.
     *
     * @param listeners names of the listeners that it belongs to; empty: to all
     * @param serverNames exact names in lower case; {@code *.x}; {@code x.*}; {@code .x} for x and *.x; or {@code ~}
     *     followed by a pattern
     * @param isDefault whether it gets the requests to its listeners that no host name of theirs matches
     * @param defaultOfListeners listeners for which it is the default even if {@code isDefault} is false
     */
    public record Host(
            String name,
            Set<String> listeners,
            List<String> serverNames,
            boolean isDefault,
            Set<String> defaultOfListeners) {}

    private record HostPattern(KeyPattern pattern, String host) {}

    /** The hosts of one listener, indexed by the kinds of their names. */
    private static final class ListenerHosts {
        private final Map<String, String> byExactName = new HashMap<>();
        /** Hosts by the part of the name after the asterisk. */
        private final Map<String, String> bySuffix = new HashMap<>();
        /** Hosts by the part of the name before the asterisk. */
        private final Map<String, String> byPrefix = new HashMap<>();

        private final List<HostPattern> patterns = new ArrayList<>();
        private String defaultHost;

        void add(Host host, String listener) {
            host.serverNames().forEach(serverName -> add(serverName, host.name()));
            if ((host.isDefault() || host.defaultOfListeners().contains(listener)) && defaultHost == null) {
                defaultHost = host.name();
            }
        }

        private void add(String serverName, String host) {
            if (serverName.startsWith("~")) {
                patterns.add(new HostPattern(new KeyPattern(serverName.substring(1)), host));
            } else if (serverName.startsWith("*.")) {
                bySuffix.putIfAbsent(serverName.substring(1), host);
            } else if (serverName.startsWith(".")) {
                byExactName.putIfAbsent(serverName.substring(1), host);
                bySuffix.putIfAbsent(serverName, host);
            } else if (serverName.endsWith(".*")) {
                byPrefix.putIfAbsent(serverName.substring(0, serverName.length() - 1), host);
            } else {
                byExactName.putIfAbsent(serverName, host);
            }
        }

        /** Returns the host for this name; null if there is none. */
        String find(String name) {
            String found = byExactName.get(name);
            found = found != null ? found : findByLongestSuffix(name);
            found = found != null ? found : findByLongestPrefix(name);
            found = found != null ? found : findByPattern(name);
            return found != null ? found : defaultHost;
        }

        private String findByLongestSuffix(String name) {
            for (int dot = name.indexOf('.', 1); dot > 0; dot = name.indexOf('.', dot + 1)) {
                String found = bySuffix.get(name.substring(dot));
                if (found != null) {
                    return found;
                }
            }
            return null;
        }

        private String findByLongestPrefix(String name) {
            for (int dot = name.lastIndexOf('.'); dot > 0; dot = name.lastIndexOf('.', dot - 1)) {
                String found = byPrefix.get(name.substring(0, dot + 1));
                if (found != null) {
                    return found;
                }
            }
            return null;
        }

        private String findByPattern(String name) {
            for (int i = 0; i < patterns.size(); i++) {
                if (patterns.get(i).pattern().matches(name)) {
                    return patterns.get(i).host();
                }
            }
            return null;
        }
    }

    /** Compiles hosts. Among equal names, matching patterns and defaults, the first host in the list is used. */
    public VirtualHosts(List<Host> hosts) {
        this.hosts = List.copyOf(hosts);
        for (Host host : hosts) {
            host.listeners().forEach(listener -> byListener.putIfAbsent(listener, new ListenerHosts()));
            host.defaultOfListeners().forEach(listener -> byListener.putIfAbsent(listener, new ListenerHosts()));
        }
        for (Host host : hosts) {
            if (host.listeners().isEmpty()) {
                otherListeners.add(host, "");
                byListener.forEach((listener, listenerHosts) -> listenerHosts.add(host, listener));
            } else {
                host.listeners().forEach(listener -> byListener.get(listener).add(host, listener));
            }
        }
    }

    /** Returns whether a host may have this server name; the text of a pattern is not checked. */
    public static boolean isValidName(String serverName) {
        if (serverName.startsWith("~")) {
            return true;
        }
        String plain = withoutWildcard(serverName);
        return plain.indexOf('*') < 0 && plain.indexOf('/') < 0 && KeyRewrite.isLegalKey(plain);
    }

    private static String withoutWildcard(String serverName) {
        if (serverName.startsWith("*.")) {
            return serverName.substring(2);
        }
        if (serverName.startsWith(".")) {
            return serverName.substring(1);
        }
        return serverName.endsWith(".*") ? serverName.substring(0, serverName.length() - 2) : serverName;
    }

    /** Returns all hosts, in the order of the file. */
    public List<Host> hosts() {
        return hosts;
    }

    /** Returns the name of the host for a request to this listener; null if there is none. */
    public String find(String listener, String name) {
        return hosts.isEmpty()
                ? null
                : byListener.getOrDefault(listener, otherListeners).find(name);
    }
}
