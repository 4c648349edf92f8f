package cacheproxy.nginx.importer;

import cacheproxy.nginx.model.ServerBlock;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The listeners, one for each socket, and the default server of each listener. */
final class ListenerTable {
    private final Report report;
    /** Names of listeners by socket, in the order of the file. */
    private final Map<String, String> nameBySocket = new LinkedHashMap<>();

    private final Set<String> takenNames = new HashSet<>();
    private final Map<String, ServerBlock> defaultServerBySocket = new HashMap<>();

    ListenerTable(List<ServerBlock> servers, Report report) {
        this.report = report;
        for (ServerBlock server : servers) {
            server.listens().forEach(listen -> add(server, listen));
            server.directive().childrenNamed("server_name").forEach(report::carried);
        }
    }

    /** Returns the names of all listeners, in order. */
    Collection<String> names() {
        return Collections.unmodifiableCollection(nameBySocket.values());
    }

    /** Returns the names of a server's listeners; empty if none of its sockets is imported. */
    Set<String> of(ServerBlock server) {
        Set<String> names = new LinkedHashSet<>();
        for (ServerBlock.Listen listen : server.listens()) {
            if (nameBySocket.containsKey(listen.socket())) {
                names.add(nameBySocket.get(listen.socket()));
            }
        }
        return names;
    }

    /**
     * Returns the names of the listeners whose default is this server; it takes requests for hosts that no server
     * names.
     */
    @SuppressWarnings("ReferenceEquality") // compares identity on purpose
    Set<String> defaultOf(ServerBlock server) {
        Set<String> names = new LinkedHashSet<>();
        for (ServerBlock.Listen listen : server.listens()) {
            String socket = listen.socket();
            if (nameBySocket.containsKey(socket) && defaultServerBySocket.get(socket) == server) {
                names.add(nameBySocket.get(socket));
            }
        }
        return names;
    }

    private void add(ServerBlock server, ServerBlock.Listen listen) {
        String socket = listen.socket();
        if (socket.startsWith("unix:")) {
            report.notCarried(listen.directive(), "sockets of Unix are not listened on");
            return;
        }
        String name = nameBySocket.computeIfAbsent(
                socket, absent -> Names.unique("listen-" + absent.replaceAll("[^A-Za-z0-9.:*]", "_"), takenNames));
        report.changed(
                listen.directive(),
                "listener " + name + (isEncrypted(listen) ? "; connections are not encrypted here" : ""));
        if (!defaultServerBySocket.containsKey(socket)) {
            defaultServerBySocket.put(socket, server);
        } else if (listen.isDefault()) {
            setMarkedDefault(server, listen);
        }
    }

    private static boolean isEncrypted(ServerBlock.Listen listen) {
        return listen.directive() != null
                && (listen.directive().args().contains("ssl")
                        || listen.directive().args().contains("quic"));
    }

    /**
     * Makes a server the default instead of the socket's first server, unless that one is marked as the default, too.
     */
    private void setMarkedDefault(ServerBlock server, ServerBlock.Listen listen) {
        String socket = listen.socket();
        boolean alreadyMarked = defaultServerBySocket.get(socket).listens().stream()
                .anyMatch(other -> other.isDefault() && other.socket().equals(socket));
        if (alreadyMarked) {
            report.notCarried(listen.directive(), "nginx refuses this: a duplicate default server for " + socket);
        } else {
            defaultServerBySocket.put(socket, server);
        }
    }
}
