package cacheproxy.fakes.nginx;

import cacheproxy.nginx.Directive;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Selects the server block of a request: by exact name, then the longest name with a wildcard at the front, then the
 * longest with a wildcard at the end, then the first pattern, and otherwise the default server of the socket.
 */
final class ServerSelector {
    private static final String DEFAULT_SOCKET = "*:80";
    private static final String DEFAULT_PORT = ":80";

    private final List<Directive> servers;
    private final PatternCache patterns;

    ServerSelector(List<Directive> servers, PatternCache patterns) {
        this.servers = servers;
        this.patterns = patterns;
    }

    /** Returns the first socket of the configuration. */
    String firstSocket() {
        return servers.isEmpty() ? DEFAULT_SOCKET : sockets(servers.get(0)).get(0);
    }

    /** Returns the server of a request; null if none listens on the socket. */
    Directive select(String socket, String host) {
        List<Directive> candidates = servers.stream()
                .filter(server -> sockets(server).contains(socket))
                .toList();
        Directive selected = host.isEmpty() ? null : withExactName(candidates, host);
        if (selected == null) {
            selected = withLongestFrontWildcard(candidates, host);
        }
        if (selected == null) {
            selected = withLongestEndWildcard(candidates, host);
        }
        if (selected == null) {
            selected = withRegex(candidates, host);
        }
        return selected != null ? selected : defaultServer(candidates, socket);
    }

    private static List<String> sockets(Directive server) {
        List<String> sockets = server.childrenNamed("listen").stream()
                .map(listen -> socket(listen.arg(0)))
                .toList();
        return sockets.isEmpty() ? List.of(DEFAULT_SOCKET) : sockets;
    }

    private static String socket(String text) {
        if (text.chars().allMatch(Character::isDigit)) {
            return "*:" + text;
        }
        int colon = text.lastIndexOf(':');
        boolean hasPort = colon > text.lastIndexOf(']') && colon > 0;
        return text.startsWith("unix:") || hasPort ? text : text + DEFAULT_PORT;
    }

    /** Returns the names of a server; all but patterns are in lower case. */
    private static List<String> names(Directive server) {
        List<String> names = new ArrayList<>();
        for (Directive serverName : server.childrenNamed("server_name")) {
            for (String name : serverName.args()) {
                names.add(name.startsWith("~") ? name : name.toLowerCase(Locale.ROOT));
            }
        }
        return names;
    }

    private static Directive withExactName(List<Directive> candidates, String host) {
        for (Directive server : candidates) {
            if (names(server).stream().anyMatch(name -> name.equals(host) || name.equals("." + host))) {
                return server;
            }
        }
        return null;
    }

    private static boolean hasFrontWildcard(String name) {
        return name.startsWith("*.") || name.startsWith(".");
    }

    private static Directive withLongestFrontWildcard(List<Directive> candidates, String host) {
        Directive longest = null;
        int longestLength = 0;
        for (Directive server : candidates) {
            for (String name : names(server)) {
                String end = name.startsWith("*") ? name.substring(1) : name;
                boolean matches = hasFrontWildcard(name) && host.endsWith(end) && host.length() > end.length();
                if (matches && end.length() > longestLength) {
                    longest = server;
                    longestLength = end.length();
                }
            }
        }
        return longest;
    }

    private static Directive withLongestEndWildcard(List<Directive> candidates, String host) {
        Directive longest = null;
        int longestLength = 0;
        for (Directive server : candidates) {
            for (String name : names(server)) {
                if (name.startsWith("~") || hasFrontWildcard(name) || !name.endsWith(".*")) {
                    continue;
                }
                String start = name.substring(0, name.length() - 1);
                boolean matches = host.startsWith(start) && host.length() > start.length();
                if (matches && start.length() > longestLength) {
                    longest = server;
                    longestLength = start.length();
                }
            }
        }
        return longest;
    }

    private Directive withRegex(List<Directive> candidates, String host) {
        for (Directive server : candidates) {
            for (String name : names(server)) {
                if (name.startsWith("~")
                        && patterns.get(name.substring(1), true).matcher(host).find()) {
                    return server;
                }
            }
        }
        return null;
    }

    /** Returns the first server that is marked as default, or else the first one. */
    private static Directive defaultServer(List<Directive> candidates, String socket) {
        for (Directive server : candidates) {
            for (Directive listen : server.childrenNamed("listen")) {
                if (socket(listen.arg(0)).equals(socket) && listen.args().contains("default_server")) {
                    return server;
                }
            }
        }
        return candidates.isEmpty() ? null : candidates.get(0);
    }
}
