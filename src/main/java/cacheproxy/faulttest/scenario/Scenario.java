package cacheproxy.faulttest.scenario;

import java.util.List;

/**
 * What a run is made of. Times in milliseconds.
 *
 * @param program {@code serve} or {@code run}
 * @param zones dealt out to proxies and nodes in turn
 * @param nodePerSecond what a warm node can do, requests a second
 * @param nodeRoom commands that may wait at a node
 * @param warm whether nodes hold all keys from the start
 * @param relayNodes whether connections to nodes go through the rig; those to discovery always do
 * @param ownDiscovery whether each zone has a discovery of its own, with the same lists
 * @param extra for {@code run}: text at the end of each proxy's file, with {@code {me}}, {@code {peers}} and others
 *     replaced
 * @param old proxies that have {@code oldExtra} instead: another release's file, or one that is wrong
 * @param duties that each proxy is asked for at its control address
 * @param pollMs so often, at the most
 * @param limit null: none is judged
 * @param waves proxies that start at the same time
 */
public record Scenario(
        String name,
        String program,
        int proxies,
        int nodes,
        List<String> zones,
        long seed,
        double nodePerSecond,
        int nodeRoom,
        boolean warm,
        boolean relayNodes,
        boolean ownDiscovery,
        String extra,
        List<String> old,
        String oldExtra,
        List<String> duties,
        double pollMs,
        int waves,
        Load load,
        Limit limit,
        List<Fault> faults) {

    /**
     * A limit of the whole fleet that is judged at the nodes.
     *
     * @param kind of the requests that it bounds: read, keyed, unsafe
     * @param perSecond 0: it bounds what is in hand
     * @param atOnce 0: it bounds a rate
     * @param saved by so much it may be passed in any window
     */
    public record Limit(String kind, double perSecond, int atOnce, double saved) {}

    /**
     * What clients ask.
     *
     * @param seconds how long
     * @param perSecond requests a second, at all proxies together
     * @param skew 0: all proxies alike; 1: the part of the i-th of them is as 1/i
     * @param turnMs after so long all proxies' parts move on by one proxy; 0: never
     * @param hot share of reads that ask one key
     * @param writes share of requests that write, half of them keyed, half of them not to be repeated
     */
    public record Load(
            double seconds,
            double perSecond,
            double skew,
            double turnMs,
            int keys,
            double hot,
            double writes,
            double deadlineMs) {}

    public TargetSelector endpoints() {
        return new TargetSelector(proxies, nodes, zones);
    }

    /** The same with other faults. */
    public Scenario with(List<Fault> others) {
        return new Scenario(
                name,
                program,
                proxies,
                nodes,
                zones,
                seed,
                nodePerSecond,
                nodeRoom,
                warm,
                relayNodes,
                ownDiscovery,
                extra,
                old,
                oldExtra,
                duties,
                pollMs,
                waves,
                load,
                limit,
                List.copyOf(others));
    }

    /** As a file, with each fault by its names and times. */
    public String toToml() {
        StringBuilder text =
                new StringBuilder("[fleet]\nprogram = \"" + program + "\"\nproxies = " + proxies + "\nnodes = " + nodes
                        + "\nzones = [\"" + String.join("\", \"", zones) + "\"]\nseed = " + seed
                        + "\nnode_per_second = " + nodePerSecond
                        + "\nnode_room = " + nodeRoom + "\nwarm = " + warm + "\nrelay_nodes = " + relayNodes
                        + "\nown_discovery = "
                        + ownDiscovery + "\nwaves = " + waves + "\n"
                        + (duties.isEmpty()
                                ? ""
                                : "duties = [\"" + String.join("\", \"", duties) + "\"]\npoll_ms = " + pollMs + "\n")
                        + (old.isEmpty()
                                ? ""
                                : "old = \"" + String.join(",", old) + "\"\nold_extra = '''\n" + oldExtra + "'''\n")
                        + (extra.isEmpty() ? "" : "extra = '''\n" + extra + "'''\n")
                        + "\n[load]\nseconds = " + load.seconds + "\nper_second = " + load.perSecond + "\nskew = "
                        + load.skew + "\nturn_ms = " + load.turnMs + "\nkeys = "
                        + load.keys + "\nhot = " + load.hot + "\nwrites = " + load.writes + "\ndeadline_ms = "
                        + load.deadlineMs + "\n");
        if (limit != null) {
            text.append("\n[limit]\nkind = \"")
                    .append(limit.kind)
                    .append("\"\n")
                    .append(limit.atOnce > 0 ? "at_once = " + limit.atOnce : "per_second = " + limit.perSecond)
                    .append("\nsaved = ")
                    .append(limit.saved)
                    .append('\n');
        }
        faults.forEach(f -> text.append('\n').append(f.toToml()));
        return text.toString();
    }
}
