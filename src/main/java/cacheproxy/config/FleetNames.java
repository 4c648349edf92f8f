package cacheproxy.config;

import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

/** Names and settings that the sections of the fleet have in common. */
final class FleetNames {
    /** Prefixes of the names of the program's own leases; names of {@code [[duty]]} tables must not begin with them. */
    static final String HEALTH_CHECK_PREFIX = "probe.";

    static final String WATCH_PREFIX = "watch.";
    static final String QUOTA_PREFIX = "limits.";

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9_.-]{1,64}");
    private static final double MIN_LEASE_MS = 100;
    private static final int DEFAULT_VOTERS = 5;
    private static final int MAX_VOTERS = 9;

    private FleetNames() {}

    /** Reads a unique name that can be used in datagrams and URL paths. */
    static String uniqueName(TomlTableReader table, Set<String> taken, String kind) {
        String name = table.text("name");
        if (!name.isEmpty() && !NAME.matcher(name).matches()) {
            table.error(
                    "name", kind + " name '" + name + "' is not 1 to 64 letters, digits, dots, dashes and underscores");
        } else if (!name.isEmpty() && !taken.add(name)) {
            table.error("name", "there is another " + kind + " '" + name + "'");
        }
        return name;
    }

    /** Returns whether the name of a lease is reserved for the program's own leases. */
    static boolean isReserved(String lease) {
        return lease.startsWith(HEALTH_CHECK_PREFIX)
                || lease.startsWith(WATCH_PREFIX)
                || lease.startsWith(QUOTA_PREFIX);
    }

    /** Returns the names of {@code count} leases of one kind: the prefix with a number from 0 on. */
    static List<String> numberedNames(String prefix, int count) {
        return IntStream.range(0, count).mapToObj(i -> prefix + i).toList();
    }

    /** Reads the duration of a lease, which is at most {@code longestLeaseMs}. */
    static double leaseMs(TomlTableReader table, double longestLeaseMs, double defaultMs) {
        return table.number("lease_ms", Math.min(defaultMs, longestLeaseMs), MIN_LEASE_MS, longestLeaseMs);
    }

    /** Reads how many peers vote on a lease. */
    static int voters(TomlTableReader table) {
        int voters = table.integer("voters", DEFAULT_VOTERS, 1, MAX_VOTERS);
        if (voters % 2 == 0) {
            table.error(
                    "voters", "voters is " + voters + "; use an odd number, as an even one tolerates no more failures");
        }
        return voters;
    }
}
