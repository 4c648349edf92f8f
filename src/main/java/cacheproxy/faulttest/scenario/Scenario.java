package cacheproxy.faulttest.scenario;

import java.util.List;

/**
 * A scenario: the fleet, its load and the faults of a run. Times in milliseconds from the load's start.
 *
 * @param name the name in reports and errors, usually the path of the file
 * @param program the command that proxies run: {@code serve} or {@code run}
 * @param proxies number of proxies
 * @param servers number of cache servers
 * @param zones assigned to proxies and servers in turn
 * @param seed seed of all random draws
 * @param serverPerSecond capacity of a warm server, requests a second
 * @param serverQueueLimit commands that may wait at a server
 * @param warmServers whether servers hold all keys from the start
 * @param relayServers whether connections to servers go through the relay; those to discovery always do
 * @param discoveryByZone whether each zone has a discovery of its own, with the same lists
 * @param configSuffix for {@code run}: text appended to each proxy's configuration file, after {@code {me}},
 *     {@code {peers}} and other placeholders are replaced
 * @param alternateConfigProxies proxies that have {@code alternateConfigSuffix} instead, such as the configuration of
 *     another release or an invalid one
 * @param alternateConfigSuffix text appended to the configuration files of these proxies
 * @param leases the leases that each proxy is polled for at its control address
 * @param pollMs minimum time between two polls of one lease at one proxy
 * @param concurrentStarts number of proxies that are started at the same time
 * @param slowStart how cold servers warm up
 * @param judgedCheckers names of checkers that the scenario is about: one that judges nothing makes the run fail
 * @param load what clients send
 * @param quota the quota that is checked; null if there is none
 * @param faults in the order of the file, then random ones
 */
public record Scenario(
        String name,
        String program,
        int proxies,
        int servers,
        List<String> zones,
        long seed,
        double serverPerSecond,
        int serverQueueLimit,
        boolean warmServers,
        boolean relayServers,
        boolean discoveryByZone,
        String configSuffix,
        List<String> alternateConfigProxies,
        String alternateConfigSuffix,
        List<String> leases,
        double pollMs,
        int concurrentStarts,
        SlowStart slowStart,
        List<String> judgedCheckers,
        Load load,
        Quota quota,
        List<Fault> faults) {

    /**
     * How a server that was started cold warms up, as the proxies are told.
     *
     * @param startCapacity fraction of its capacity that it has when it starts, above 0 up to 1
     * @param warmUpMs time in which its capacity grows linearly to its full value
     * @param multiple multiple of its capacity above which it is overloaded
     * @param windowMs length of the windows over which commands are counted
     */
    public record SlowStart(double startCapacity, double warmUpMs, double multiple, double windowMs) {
        /** The figures of a scenario that names none. */
        public static final SlowStart DEFAULT = new SlowStart(0.3, 9000, 3, 1500);

        private String toToml() {
            return "\n[slow_start]\n"
                    + "start_capacity = " + startCapacity + "\n"
                    + "warm_up_ms = " + warmUpMs + "\n"
                    + "multiple = " + multiple + "\n"
                    + "window_ms = " + windowMs + "\n";
        }
    }

    /**
     * A fleet-wide quota that is checked at the cache servers. It limits either a rate or requests in flight.
     *
     * @param requestKind kind of the requests that it limits: read, keyed, unsafe
     * @param perSecond requests per second; 0 if the quota limits requests in flight
     * @param maxInFlight requests in flight; 0 if the quota limits a rate
     * @param allowance number of requests by which the quota may be exceeded in any window
     */
    public record Quota(String requestKind, double perSecond, int maxInFlight, double allowance) {}

    /**
     * What clients send.
     *
     * @param seconds duration of the load
     * @param perSecond requests per second at all proxies together
     * @param skew 0: all proxies get the same share; 1: the share of the i-th is proportional to 1/i
     * @param rotationMs time after which the load shares rotate by one proxy; 0 for never
     * @param keys number of keys that are read
     * @param hotShare share of reads that go to one hot key, 0 to 1
     * @param writeShare share of requests that write, 0 to 1; half of them keyed, half of them unsafe
     * @param deadlineMs deadline of a request
     * @param retries how often clients retry a rejected read, each time at a proxy of their choice
     * @param retryDelayMs time after which they do
     */
    public record Load(
            double seconds,
            double perSecond,
            double skew,
            double rotationMs,
            int keys,
            double hotShare,
            double writeShare,
            double deadlineMs,
            int retries,
            double retryDelayMs) {
        private String toToml() {
            return "\n[load]\n"
                    + "seconds = " + seconds + "\n"
                    + "per_second = " + perSecond + "\n"
                    + "skew = " + skew + "\n"
                    + "turn_ms = " + rotationMs + "\n"
                    + "keys = " + keys + "\n"
                    + "hot = " + hotShare + "\n"
                    + "writes = " + writeShare + "\n"
                    + "deadline_ms = " + deadlineMs + "\n"
                    + (retries > 0 ? "retries = " + retries + "\nretry_ms = " + retryDelayMs + "\n" : "");
        }
    }

    /** The selector for the scenario's endpoints. */
    public TargetSelector targetSelector() {
        return new TargetSelector(proxies, servers, zones);
    }

    /** The same scenario with other faults. */
    public Scenario withFaults(List<Fault> newFaults) {
        return new Scenario(
                name,
                program,
                proxies,
                servers,
                zones,
                seed,
                serverPerSecond,
                serverQueueLimit,
                warmServers,
                relayServers,
                discoveryByZone,
                configSuffix,
                alternateConfigProxies,
                alternateConfigSuffix,
                leases,
                pollMs,
                concurrentStarts,
                slowStart,
                judgedCheckers,
                load,
                quota,
                List.copyOf(newFaults));
    }

    /**
     * The text of the scenario's file with all random draws made: each fault has its times and the names of its
     * targets.
     */
    public String toToml() {
        StringBuilder text = new StringBuilder(fleetToml()).append(load.toToml());
        if (!slowStart.equals(SlowStart.DEFAULT)) {
            text.append(slowStart.toToml());
        }
        if (quota != null) {
            text.append(quotaToml());
        }
        faults.forEach(fault -> text.append('\n').append(fault.toToml()));
        return text.toString();
    }

    private String fleetToml() {
        StringBuilder text = new StringBuilder("[fleet]\n")
                .append("program = \"" + program + "\"\n")
                .append("proxies = " + proxies + "\n")
                .append("nodes = " + servers + "\n")
                .append("zones = " + quoted(zones) + "\n")
                .append("seed = " + seed + "\n")
                .append("node_per_second = " + serverPerSecond + "\n")
                .append("node_room = " + serverQueueLimit + "\n")
                .append("warm = " + warmServers + "\n")
                .append("relay_nodes = " + relayServers + "\n")
                .append("own_discovery = " + discoveryByZone + "\n")
                .append("waves = " + concurrentStarts + "\n");
        if (!judgedCheckers.isEmpty()) {
            text.append("must_judge = " + quoted(judgedCheckers) + "\n");
        }
        if (!leases.isEmpty()) {
            text.append("duties = " + quoted(leases) + "\n").append("poll_ms = " + pollMs + "\n");
        }
        if (!alternateConfigProxies.isEmpty()) {
            text.append("old = \"" + String.join(",", alternateConfigProxies) + "\"\n")
                    .append("old_extra = '''\n" + alternateConfigSuffix + "'''\n");
        }
        if (!configSuffix.isEmpty()) {
            text.append("extra = '''\n" + configSuffix + "'''\n");
        }
        return text.toString();
    }

    private String quotaToml() {
        return "\n[limit]\n"
                + "kind = \"" + quota.requestKind + "\"\n"
                + (quota.maxInFlight > 0 ? "at_once = " + quota.maxInFlight : "per_second = " + quota.perSecond) + "\n"
                + "saved = " + quota.allowance + "\n";
    }

    private static String quoted(List<String> words) {
        return "[\"" + String.join("\", \"", words) + "\"]";
    }
}
