package cacheproxy.routes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Finds the host, in the file's sense, that a request is for. Order, as nginx documents it for {@code server_name}: an
 * exact name, the longest that begins with {@code *.}, the longest that ends with {@code .*}, the first pattern in the
 * file's order, the listener's default. Names are found by hash; patterns are tried one after another.
 */
public final class VirtualHosts {
    public static final VirtualHosts NONE = new VirtualHosts(List.of());

    /**
     * A host of the file.
     *
     * @param listeners where it is found; empty: at all
     * @param names exact in lower case, {@code *.x}, {@code x.*}, {@code .x} for x and *.x; or {@code ~} with a pattern
     * @param fallback whether it takes what no name of its listeners takes
     * @param fallbackOf the same for these listeners alone
     */
    public record Host(
            String name, Set<String> listeners, List<String> names, boolean fallback, Set<String> fallbackOf) {}

    private record Pattern(KeyPattern pattern, String host) {}

    /** The names of one listener. */
    private static final class Names {
        final Map<String, String> exact = new HashMap<>();
        final Map<String, String> tails = new HashMap<>();
        final Map<String, String> heads = new HashMap<>();
        final List<Pattern> patterns = new ArrayList<>();
        String fallback;

        void add(Host h, String listener) {
            for (String n : h.names()) {
                if (n.startsWith("~")) {
                    patterns.add(new Pattern(new KeyPattern(n.substring(1)), h.name()));
                } else if (n.startsWith("*.")) {
                    tails.putIfAbsent(n.substring(1), h.name());
                } else if (n.startsWith(".")) {
                    exact.putIfAbsent(n.substring(1), h.name());
                    tails.putIfAbsent(n, h.name());
                } else if (n.endsWith(".*")) {
                    heads.putIfAbsent(n.substring(0, n.length() - 1), h.name());
                } else {
                    exact.putIfAbsent(n, h.name());
                }
            }
            if ((h.fallback() || h.fallbackOf().contains(listener)) && fallback == null) {
                fallback = h.name();
            }
        }

        String find(String host) {
            String found = exact.get(host);
            for (int dot = host.indexOf('.', 1); found == null && dot > 0; dot = host.indexOf('.', dot + 1)) {
                found = tails.get(host.substring(dot)); // the first dot leaves the longest tail
            }
            for (int dot = host.lastIndexOf('.'); found == null && dot > 0; dot = host.lastIndexOf('.', dot - 1)) {
                found = heads.get(host.substring(0, dot + 1));
            }
            for (int i = 0; found == null && i < patterns.size(); i++) {
                found = patterns.get(i).pattern().matches(host)
                        ? patterns.get(i).host()
                        : null;
            }
            return found != null ? found : fallback;
        }
    }

    private final List<Host> hosts;
    private final Map<String, Names> byListener = new HashMap<>();
    private final Names anywhere = new Names();

    public VirtualHosts(List<Host> hosts) {
        this.hosts = List.copyOf(hosts);
        for (Host h : hosts) {
            h.listeners().forEach(l -> byListener.putIfAbsent(l, new Names()));
            h.fallbackOf().forEach(l -> byListener.putIfAbsent(l, new Names()));
        }
        for (Host h : hosts) {
            if (h.listeners().isEmpty()) {
                anywhere.add(h, "");
                byListener.forEach((l, n) -> n.add(h, l));
            } else {
                h.listeners().forEach(l -> byListener.get(l).add(h, l));
            }
        }
    }

    /** Whether a host may have this name, its pattern aside. */
    public static boolean isName(String n) {
        String plain = n.startsWith("*.")
                ? n.substring(2)
                : n.startsWith(".") ? n.substring(1) : n.endsWith(".*") ? n.substring(0, n.length() - 2) : n;
        return n.startsWith("~") || (plain.indexOf('*') < 0 && plain.indexOf('/') < 0 && KeyRewrite.legal(plain));
    }

    public List<Host> hosts() {
        return hosts;
    }

    /** The name of the host; null if there is none for it. */
    public String find(String listener, String host) {
        return hosts.isEmpty()
                ? null
                : byListener.getOrDefault(listener, anywhere).find(host);
    }
}
