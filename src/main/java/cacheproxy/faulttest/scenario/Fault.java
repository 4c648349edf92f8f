package cacheproxy.faulttest.scenario;

import java.util.List;

/**
 * One fault that is injected at a time and ends after another. Times in milliseconds from the load's start. Which
 * components count depends on the kind.
 *
 * @param kind what happens
 * @param atMs when it begins
 * @param durationMs how long it lasts; a process that was ended is started again then
 * @param targets endpoints that it hits, or one end of the links that it hits
 * @param linkPeers the other ends of the links; empty for other kinds
 * @param twoWay whether links are faulty in both directions
 * @param linkFault what happens on the links; null for other kinds
 * @param speedShare the share of its speed that a slowed process keeps, 0 to 1
 * @param cycleMs how often a slowed process is paused and resumed
 * @param emptyDisk whether a process that is started again finds its folder empty
 * @param staggerMs how much later each target is hit than the one before
 * @param holderOf a lease: the fault hits its holder at the time when it begins, and {@code targets} only where no
 *     holder is known; empty: always {@code targets}
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

    /** Makes a fault that hits the given targets, whoever holds a lease. */
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

    /** Makes a fault; components that don't count for its kind get neutral values. */
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
        /** SIGSTOP and SIGCONT to a proxy in turns. */
        SLOW("slow"),
        /** SIGTERM to a proxy; it is started again at the end. */
        TERMINATE("term"),
        /** SIGKILL to a proxy; it is started again at the end. */
        KILL("kill"),
        /** A cache server responds to nothing, and at the end to all that came. */
        SERVER_STALL("node-stall"),
        /** A cache server dies; it is back empty and cold at the end. */
        SERVER_KILL("node-kill"),
        /** Discovery lists a cache server as draining, and as up again at the end. */
        SERVER_DRAIN("node-drain");

        private final String tomlName;

        Kind(String tomlName) {
            this.tomlName = tomlName;
        }

        /** Its name in scenario files, histories and reports. */
        public String tomlName() {
            return tomlName;
        }

        /** Whether a process ends when it begins, and is started again when it ends. */
        boolean restartsProcess() {
            return this == TERMINATE || this == KILL;
        }

        /** Whether its targets are cache servers. */
        boolean hitsServers() {
            return this == SERVER_STALL || this == SERVER_KILL || this == SERVER_DRAIN;
        }
    }

    /**
     * What happens on a faulty link.
     *
     * @param lossShare share of datagrams that are lost, 0 to 1; at 1 connections stay open and transfer nothing
     * @param delayMs how much later each datagram arrives
     * @param jitterMs up to how much more each datagram is delayed at random, so that they are reordered
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

        /** Makes one; an IllegalArgumentException says which values are out of range. */
        public LinkFault {
            if (!isShare(lossShare)
                    || !isShare(duplicateShare)
                    || !isShare(corruptShare)
                    || !(delayMs >= 0)
                    || !(jitterMs >= 0)) {
                throw new IllegalArgumentException("link " + lossShare + ", " + delayMs + ", " + jitterMs + ", "
                        + duplicateShare + ", " + corruptShare);
            }
        }

        private static boolean isShare(double value) {
            return value >= 0 && value <= 1;
        }
    }

    /** When it has ended for all its targets. */
    public double endMs() {
        return atMs + durationMs + staggerMs * Math.max(0, targets.size() - 1);
    }

    /** Whether it hits links. */
    public boolean hitsLinks() {
        return kind == Kind.LINK;
    }

    /** Whether it hits cache servers. */
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

    /** Its table in a scenario file, so that a run can be repeated. */
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
