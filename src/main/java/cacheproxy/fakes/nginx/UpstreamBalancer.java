package cacheproxy.fakes.nginx;

import cacheproxy.nginx.Directive;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** Selects servers of upstreams, if the choice depends on the request alone. */
final class UpstreamBalancer {
    private static final Set<String> METHODS = Set.of("hash", "ip_hash", "least_conn", "random", "least_time");
    private static final Pattern HOST_AND_PORT = Pattern.compile("^(.*):([0-9]*)$");
    /** Number of unavailable servers after which nginx falls back to round robin. */
    private static final int MAX_TRIES = 20;

    private static final int POINTS_PER_WEIGHT = 160;

    private final VariableExpander variables;
    /** Rings of {@code hash ... consistent} by upstream; each maps points to names of servers. */
    private final Map<String, NavigableMap<Long, String>> rings = new HashMap<>();

    UpstreamBalancer(VariableExpander variables) {
        this.variables = variables;
    }

    /** A server that is not a backup. */
    private record Peer(String name, int weight, boolean down) {
        static Peer of(Directive server) {
            int weight = 1;
            for (String parameter : server.args()) {
                if (parameter.matches("weight=[1-9][0-9]*")) {
                    weight = Integer.parseInt(parameter.substring("weight=".length()));
                }
            }
            return new Peer(server.arg(0), weight, server.args().contains("down"));
        }
    }

    /** Returns the server of a request; null if the choice depends on more than the request. */
    String select(Directive upstream, SimulatedRequest request) {
        List<Peer> peers = upstream.childrenNamed("server").stream()
                .filter(server -> !server.args().contains("backup"))
                .map(Peer::of)
                .toList();
        if (peers.size() == 1) {
            return peers.get(0).name;
        }
        Directive hash = lastMethod(upstream);
        if (hash == null || !hash.name().equals("hash")) {
            return null;
        }
        String name = upstream.arg(0);
        String keyText = hash.arg(0).replace("$proxy_host", name).replace("${proxy_host}", name);
        byte[] key = variables.expand(keyText, request).getBytes(StandardCharsets.ISO_8859_1);
        if (key.length == 0) {
            return null;
        }
        return hash.arg(1).equals("consistent") ? selectOnRing(name, peers, key) : selectByModulo(peers, key);
    }

    private static Directive lastMethod(Directive upstream) {
        Directive last = null;
        for (Directive directive : upstream.block()) {
            if (METHODS.contains(directive.name())) {
                last = directive;
            }
        }
        return last;
    }

    /** Selects a server in the way in which Cache::Memcached distributes keys. */
    private static String selectByModulo(List<Peer> peers, byte[] key) {
        int totalWeight = peers.stream().mapToInt(Peer::weight).sum();
        long hash = 0;
        for (int tries = 0; tries <= MAX_TRIES; tries++) {
            byte[] prefix = tries == 0 ? new byte[0] : Integer.toString(tries).getBytes(StandardCharsets.US_ASCII);
            byte[] text = Arrays.copyOf(prefix, prefix.length + key.length);
            System.arraycopy(key, 0, text, prefix.length, key.length);
            hash += ReferenceHashes.crc32(text) >> 16 & 0x7FFF;
            Peer peer = peerAt(hash % totalWeight, peers);
            if (!peer.down) {
                return peer.name;
            }
        }
        return null;
    }

    private static Peer peerAt(long position, List<Peer> peers) {
        long remaining = position;
        for (Peer peer : peers) {
            if (remaining < peer.weight) {
                return peer;
            }
            remaining -= peer.weight;
        }
        throw new IllegalArgumentException("position " + position + " is not below the sum of weights");
    }

    /** Selects a server in the way in which Cache::Memcached::Fast distributes keys. */
    private String selectOnRing(String upstream, List<Peer> peers, byte[] key) {
        NavigableMap<Long, String> ring = rings.computeIfAbsent(upstream, absent -> ring(peers));
        Set<String> down = peers.stream().filter(Peer::down).map(Peer::name).collect(Collectors.toSet());
        Long point = ring.ceilingKey(ReferenceHashes.crc32(key));
        for (int tries = 0; tries <= MAX_TRIES; tries++) {
            point = point == null ? ring.firstKey() : point;
            if (!down.contains(ring.get(point))) {
                return ring.get(point);
            }
            point = ring.higherKey(point);
        }
        return null;
    }

    private static NavigableMap<Long, String> ring(List<Peer> peers) {
        NavigableMap<Long, String> ring = new TreeMap<>();
        for (Peer peer : peers) {
            for (long point : points(peer)) {
                ring.putIfAbsent(point, peer.name);
            }
        }
        return ring;
    }

    private static List<Long> points(Peer peer) {
        byte[] base = pointText(peer.name).getBytes(StandardCharsets.ISO_8859_1);
        List<Long> points = new ArrayList<>();
        long previous = 0;
        for (int i = 0; i < POINTS_PER_WEIGHT * peer.weight; i++) {
            byte[] text = Arrays.copyOf(base, base.length + Integer.BYTES);
            for (int j = 0; j < Integer.BYTES; j++) {
                text[base.length + j] = (byte) (previous >> (8 * j));
            }
            previous = ReferenceHashes.crc32(text);
            points.add(previous);
        }
        return points;
    }

    /** Returns the text that is hashed to the points of a server: host and port, separated by a zero byte. */
    private static String pointText(String name) {
        if (name.toLowerCase(Locale.ROOT).startsWith("unix:")) {
            return name.substring("unix:".length()) + "\0";
        }
        Matcher hostAndPort = HOST_AND_PORT.matcher(name);
        return hostAndPort.matches() ? hostAndPort.group(1) + "\0" + hostAndPort.group(2) : name + "\0";
    }
}
