package cacheproxy.faulttest.scenario;

import java.util.List;

/**
 * One fault, with the time of its injection and its duration. Times are in milliseconds from the load's start. Which
 * components are used depends on the kind.
 *
 * @param kind what happens
 * @param atMs when it begins
 * @param durationMs how long it lasts; a process that the fault ended is then restarted
 * @param targets endpoints that it hits, or one end of the links that it hits
 * @param linkPeers the other ends of the links; empty for other kinds
 * @param twoWay whether links are faulty in both directions
 * @param linkFault what happens on the links; null for other kinds
 * @param speedShare the share of its speed that a slowed process keeps, 0 to 1
 * @param cycleMs period in which a slowed process is paused and resumed once
 * @param emptyDisk whether a restarted process finds its directory empty
 * @param staggerMs time between the injection at one target and at the next
 * @param holderOf name of a lease: the fault hits the proxy that holds the lease when the fault begins, or
 *     {@code targets} if no holder is known; if empty, it always hits {@code targets}
 */
public record Fault(
        Kind kind,
        double atMs,
        double durationMs,
        List<String> targets,
        List<String> linkPeers,
        boolean twoWay,
        LinkFault linkFault,
        double speedShare,
        double cycleMs,
        boolean emptyDisk,
        double staggerMs,
        String holderOf) {

    /** Makes a fault that hits the given targets, regardless of lease holders. */
    public Fault(
            Kind kind,
            double atMs,
            double durationMs,
            List<String> targets,
            List<String> linkPeers,
            boolean twoWay,
            LinkFault linkFault,
            double speedShare,
            double cycleMs,
            boolean emptyDisk,
            double staggerMs) {
        this(
                kind,
                atMs,
                durationMs,
                targets,
                linkPeers,
                twoWay,
                linkFault,
                speedShare,
                cycleMs,
                emptyDisk,
                staggerMs,
                "");
    }

    /** Makes a fault; components that its kind does not use get neutral values. */
    public Fault {
        speedShare = kind == Kind.SLOW ? speedShare : 1;
        cycleMs = kind == Kind.SLOW ? cycleMs : 0;
        emptyDisk &= kind.restartsProcess();
        targets = List.copyOf(targets);
        linkPeers = List.copyOf(linkPeers);
    }

    /** What happens to which endpoints. */
    public enum Kind {
        /** A {@link LinkFault} on the links between targets and peers. */
        LINK("link"),
        /** SIGSTOP to a proxy, and SIGCONT at the end. */
        PAUSE("stop"),
        /** SIGSTOP and SIGCONT to a proxy alternately. */
        SLOW("slow"),
        /** SIGTERM to a proxy; it is restarted at the end. */
        TERMINATE("term"),
        /** SIGKILL to a proxy; it is restarted at the end. */
        KILL("kill"),
        /** A cache server sends no responses; at the end it responds to all commands that arrived meanwhile. */
        SERVER_STALL("node-stall"),
        /** A cache server is killed; it is restarted empty and cold at the end. */
        SERVER_KILL("node-kill"),
        /** Discovery lists a cache server as draining, and as up again at the end. */
        SERVER_DRAIN("node-drain"),
        /**
         * A cache server drains, ends halfway through the fault, and is started empty and cold under its id at the end.
         */
        SERVER_RESTART("node-restart");

        private final String tomlName;

        Kind(String tomlName) {
            this.tomlName = tomlName;
        }

        /** The name in scenario files, histories and reports. */
        public String tomlName() {
            return tomlName;
        }

        /** Returns whether the fault ends a process at its beginning and restarts it at its end. */
        boolean restartsProcess() {
            return this == TERMINATE || this == KILL;
        }

        /** Returns whether the targets are cache servers. */
        boolean hitsServers() {
            return switch (this) {
                case SERVER_STALL, SERVER_KILL, SERVER_DRAIN, SERVER_RESTART -> true;
                default -> false;
            };
        }
    }

    /**
     * What happens on a faulty link.
     *
     * @param lossShare share of datagrams that are lost, 0 to 1; at 1 connections stay open and transfer nothing
     * @param delayMs delay of each datagram
     * @param jitterMs maximum random delay that is added for each datagram, so that datagrams are reordered
     * @param duplicateShare share of datagrams that arrive twice, 0 to 1
     * @param corruptShare share of datagrams of which one byte is changed, 0 to 1
     * @param resetsConnections whether connections are reset and new ones refused
     */
    public record LinkFault(
            double lossShare,
            double delayMs,
            double jitterMs,
            double duplicateShare,
            double corruptShare,
            boolean resetsConnections) {
        /** A link that transfers nothing. */
        public static final LinkFault CUT = new LinkFault(1, 0, 0, 0, 0, false);

        /** Checks the components; throws an IllegalArgumentException if one is out of range. */
        public LinkFault {
            if (!isShare(lossShare)
                    || !isShare(duplicateShare)
                    || !isShare(corruptShare)
                    || !(delayMs >= 0)
                    || !(jitterMs >= 0)) {
                throw new IllegalArgumentException("link fault out of range: " + lossShare + ", " + delayMs + ", "
                        + jitterMs + ", " + duplicateShare + ", " + corruptShare);
            }
        }

        private static boolean isShare(double value) {
            return value >= 0 && value <= 1;
        }
    }

    /** The time at which the fault has ended at all its targets. */
    public double endMs() {
        return atMs + durationMs + staggerMs * Math.max(0, targets.size() - 1);
    }

    /** Returns whether the fault hits links. */
    public boolean hitsLinks() {
        return kind == Kind.LINK;
    }

    /** Returns whether the fault hits cache servers. */
    public boolean hitsServers() {
        return kind.hitsServers();
    }

    /** The same fault with another duration. */
    public Fault withDuration(double newDurationMs) {
        return new Fault(
                kind,
                atMs,
                newDurationMs,
                targets,
                linkPeers,
                twoWay,
                linkFault,
                speedShare,
                cycleMs,
                emptyDisk,
                staggerMs,
                holderOf);
    }

    /** The same fault with other targets. */
    public Fault withTargets(List<String> newTargets, List<String> newLinkPeers) {
        return withTimeAndTargets(atMs, newTargets, newLinkPeers);
    }

    /** The same fault at another time with other targets. */
    public Fault withTimeAndTargets(double newAtMs, List<String> newTargets, List<String> newLinkPeers) {
        return new Fault(
                kind,
                newAtMs,
                durationMs,
                newTargets,
                newLinkPeers,
                twoWay,
                linkFault,
                speedShare,
                cycleMs,
                emptyDisk,
                staggerMs,
                holderOf);
    }

    /** The fault's table in a scenario file, so that a run can be repeated. */
    public String toToml() {
        StringBuilder text = new StringBuilder("[[fault]]\n")
                .append("kind = \"" + kind.tomlName() + "\"\n")
                .append("at_ms = " + number(atMs) + "\n")
                .append("for_ms = " + number(durationMs) + "\n")
                .append("who = \"" + String.join(",", targets) + "\"\n");
        if (hitsLinks()) {
            text.append("to = \"" + String.join(",", linkPeers) + "\"\n")
                    .append("two_way = " + twoWay + "\n")
                    .append("lose = " + linkFault.lossShare + "\n")
                    .append("delay_ms = " + number(linkFault.delayMs) + "\n")
                    .append("jitter_ms = " + number(linkFault.jitterMs) + "\n")
                    .append("twice = " + linkFault.duplicateShare + "\n")
                    .append("corrupt = " + linkFault.corruptShare + "\n")
                    .append("reset = " + linkFault.resetsConnections + "\n");
        } else if (kind == Kind.SLOW) {
            text.append("share = " + speedShare + "\n").append("beat_ms = " + number(cycleMs) + "\n");
        } else if (kind.restartsProcess()) {
            text.append("lose_disk = " + emptyDisk + "\n");
        }
        if (!holderOf.isEmpty()) {
            text.append("holder_of = \"" + holderOf + "\"\n");
        }
        return text.append("stagger_ms = " + number(staggerMs) + "\n").toString();
    }

    private static String number(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }
}
