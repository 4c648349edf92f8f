package cacheproxy.nginx.importer;

import cacheproxy.nginx.Directive;
import cacheproxy.nginx.model.HttpModel;
import cacheproxy.nginx.model.ServerBlock;
import cacheproxy.routes.VirtualHosts;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Translates servers to virtual hosts, and calls {@link RouteTranslator} for the routes of each. A server whose routes
 * depend on the host gets a separate virtual host for each host that the configuration names in full.
 */
final class HostTranslator {
    private static final Pattern HOST_CONDITION =
            Pattern.compile("^\\(?\\s*\\$(?:http_)?host\\s+!?=\\s+[\"']?([^\"')\\s]+)");
    private static final String FULL_NAME = "[a-z0-9_-]+(\\.[a-z0-9_-]+)+";
    private static final String CATCH_ALL_NAME = "_";
    private static final String NEVER_MATCHING_REGEX = "$^";

    private final HttpModel model;
    private final ListenerTable listeners;
    private final VariableUsage usage;
    private final RouteTranslator routes;
    private final Report report;

    private final List<VirtualHosts.Host> hosts = new ArrayList<>();
    private final Set<String> takenHostNames = new HashSet<>();
    /** The server names of earlier servers, by listener. */
    private final Map<String, Set<String>> takenServerNames = new HashMap<>();

    HostTranslator(
            HttpModel model, ListenerTable listeners, VariableUsage usage, RouteTranslator routes, Report report) {
        this.model = model;
        this.listeners = listeners;
        this.usage = usage;
        this.routes = routes;
        this.report = report;
    }

    /**
     * Translates all servers.
     *
     * @param hostInKeys whether keys contain the host
     */
    List<VirtualHosts.Host> translate(boolean hostInKeys) {
        Set<String> knownHosts = hostInKeys ? hostsNamedInFull() : Set.of();
        VirtualHosts hostSearch = new VirtualHosts(hostsByServerIndex());
        for (int i = 0; i < model.servers().size(); i++) {
            ServerBlock server = model.servers().get(i);
            Set<String> serverListeners = listeners.of(server);
            if (serverListeners.isEmpty()) {
                report.notCarried(server.directive(), "none of its sockets is imported; its requests are not served");
                continue;
            }
            List<String> dedicatedHosts = new ArrayList<>();
            if (usage.blockDependsOnHost(server.directive())) {
                String index = Integer.toString(i);
                knownHosts.stream()
                        .filter(host -> serverListeners.stream()
                                .allMatch(listener -> index.equals(hostSearch.find(listener, host))))
                        .forEach(dedicatedHosts::add);
            }
            translate(server, serverListeners, dedicatedHosts);
        }
        return hosts;
    }

    /**
     * Translates a server.
     *
     * @param dedicatedHosts hosts that get separate routes
     */
    private void translate(ServerBlock server, Set<String> serverListeners, List<String> dedicatedHosts) {
        List<String> names = serverNames(server, serverListeners);
        String hostName = hostName(server);
        for (String dedicatedHost : dedicatedHosts) {
            names.remove(dedicatedHost);
            String dedicatedHostName = Names.unique(dedicatedHost, takenHostNames);
            hosts.add(
                    new VirtualHosts.Host(dedicatedHostName, serverListeners, List.of(dedicatedHost), false, Set.of()));
            routes.translate(server, dedicatedHostName, dedicatedHost);
        }
        Set<String> defaultOf = listeners.defaultOf(server);
        if (!names.isEmpty() || !defaultOf.isEmpty()) {
            boolean defaultEverywhere = defaultOf.equals(serverListeners);
            hosts.add(new VirtualHosts.Host(
                    hostName, serverListeners, names, defaultEverywhere, defaultEverywhere ? Set.of() : defaultOf));
            routes.translate(server, hostName, null);
        } else if (dedicatedHosts.isEmpty()) {
            report.add(
                    server.directive(),
                    Report.Level.LEFT,
                    "no request reaches it: it has no name and is the default of no listener");
        }
    }

    /** Returns the names of a server that virtual hosts can have and that no earlier server has. */
    private List<String> serverNames(ServerBlock server, Set<String> serverListeners) {
        List<String> names = new ArrayList<>();
        for (String name : server.names()) {
            if (name.startsWith("~")) {
                addRegexName(name, server.directive(), names);
            } else if (isTaken(name, serverListeners)) {
                report.changed(
                        server.directive(), "conflicting server name \"" + name + "\", which nginx ignores here too");
            } else if (!name.isEmpty() && !name.equals(CATCH_ALL_NAME)) {
                if (VirtualHosts.isValidName(name)) {
                    names.add(name);
                } else {
                    report.notCarried(server.directive(), "server name " + name + " can't be the host of a request");
                }
            }
        }
        return names;
    }

    private void addRegexName(String name, Directive directive, List<String> names) {
        RegexTranslation regex = RegexTranslation.of(name.substring(1), true);
        if (regex.isSupported()) {
            names.add("~" + regex.text());
        } else {
            report.notCarried(
                    directive,
                    "server name " + name + " can't be expressed (" + regex.reason()
                            + "): its hosts go to the default server");
        }
    }

    /** Whether a name is taken on one of these listeners; marks it as taken on the listeners that were checked. */
    private boolean isTaken(String name, Set<String> serverListeners) {
        return serverListeners.stream()
                .anyMatch(listener -> !takenServerNames
                        .computeIfAbsent(listener, absent -> new HashSet<>())
                        .add(name));
    }

    /** Returns the name of a server's virtual host: the server's first name, or one made of its line number. */
    private String hostName(ServerBlock server) {
        String name = server.names().isEmpty() ? "" : server.names().get(0);
        if (!Names.isValid(name) || name.startsWith("~")) {
            name = "server:" + server.directive().position().line();
        }
        return Names.unique(name, takenHostNames);
    }

    // ---- hosts that are known by name

    /** Returns all hosts that a server, a map or a condition names in full. */
    private Set<String> hostsNamedInFull() {
        Set<String> named = new LinkedHashSet<>();
        model.servers()
                .forEach(server -> server.names().stream()
                        .filter(HostTranslator::isFullServerName)
                        .forEach(named::add));
        model.variables().values().stream()
                .filter(variable -> variable.name().equals("map") && usage.dependsOnHost(variable.arg(0)))
                .flatMap(map -> map.block().stream())
                .map(entry -> entry.name().toLowerCase(Locale.ROOT))
                .filter(name -> name.matches(FULL_NAME))
                .forEach(named::add);
        model.servers().forEach(server -> addHostsOfConditions(server.directive(), named));
        return named;
    }

    private static boolean isFullServerName(String name) {
        return !name.startsWith("~")
                && name.indexOf('*') < 0
                && !name.startsWith(".")
                && !name.isEmpty()
                && !name.equals(CATCH_ALL_NAME);
    }

    private static void addHostsOfConditions(Directive block, Set<String> into) {
        for (Directive directive : block.block()) {
            Matcher condition = HOST_CONDITION.matcher(String.join(" ", directive.args()));
            if (directive.name().equals("if") && condition.find()) {
                into.add(condition.group(1).toLowerCase(Locale.ROOT));
            }
            if (directive.block() != null) {
                addHostsOfConditions(directive, into);
            }
        }
    }

    /** Returns the servers as virtual hosts for nginx's search by host; each one is named after its index. */
    private List<VirtualHosts.Host> hostsByServerIndex() {
        List<VirtualHosts.Host> byIndex = new ArrayList<>();
        for (int i = 0; i < model.servers().size(); i++) {
            ServerBlock server = model.servers().get(i);
            Set<String> serverListeners = listeners.of(server);
            if (!serverListeners.isEmpty()) {
                List<String> names = server.names().stream()
                        .filter(name -> !name.isEmpty())
                        .map(HostTranslator::searchedName)
                        .toList();
                byIndex.add(new VirtualHosts.Host(
                        Integer.toString(i), serverListeners, names, false, listeners.defaultOf(server)));
            }
        }
        return byIndex;
    }

    private static String searchedName(String name) {
        if (!name.startsWith("~")) {
            return name;
        }
        RegexTranslation regex = RegexTranslation.of(name.substring(1), true);
        return "~" + (regex.isSupported() ? regex.text() : NEVER_MATCHING_REGEX);
    }
}
