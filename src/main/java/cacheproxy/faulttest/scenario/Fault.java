package cacheproxy.faulttest.scenario;

import java.util.List;

/**
 * One fault, put in at a time and taken back after another. Times in milliseconds from the load's start.
 *
 * @param kind what it does; which of the other figures count hangs on it
 * @param atMs when it begins
 * @param forMs how long it lasts; a process that was ended is started again then
 * @param who endpoints that it befalls, or where what it befalls comes from
 * @param to the other ends of links; empty where it befalls no link
 * @param twoWay whether links are faulty in both directions
 * @param figures what a link does
 * @param share the part of its speed that a slowed process keeps, 0 to 1
 * @param beatMs length of one beat of a slowed process
 * @param loseDisk whether a process that is started again finds its folder empty
 * @param holderOf a duty: it befalls who holds that when it begins, and {@code who} only where nobody is known to;
 *     empty: always {@code who}
 * @param staggerMs each of {@code who} is befallen so much later than the one before
 */
public record Fault(
        Kind kind,
        double atMs,
        double forMs,
        List<String> who,
        List<String> to,
        boolean twoWay,
        LinkFigures figures,
        double share,
        double beatMs,
        boolean loseDisk,
        double staggerMs,
        String holderOf) {

    /** One that befalls {@code who}. */
    public Fault(
            Kind kind,
            double atMs,
            double forMs,
            List<String> who,
            List<String> to,
            boolean twoWay,
            LinkFigures figures,
            double share,
            double beatMs,
            boolean loseDisk,
            double staggerMs) {
        this(kind, atMs, forMs, who, to, twoWay, figures, share, beatMs, loseDisk, staggerMs, "");
    }

    /** Figures that say nothing of its kind are set to what says nothing. */
    public Fault {
        share = kind == Kind.SLOW ? share : 1;
        beatMs = kind == Kind.SLOW ? beatMs : 0;
        loseDisk &= kind == Kind.TERM || kind == Kind.KILL;
        who = List.copyOf(who);
        to = List.copyOf(to);
    }

    /** What befalls whom. */
    public enum Kind {
        /**
         * Links between {@code who} and {@code to}: datagrams by the figures; of connections those that are cut, reset,
         * late.
         */
        LINK,
        /** SIGSTOP, and SIGCONT at the end. */
        STOP,
        /** SIGSTOP and SIGCONT in turns. */
        SLOW,
        /** SIGTERM; started again at the end. */
        TERM,
        /** SIGKILL; started again at the end. */
        KILL,
        /** A cache node answers nothing, and then all that came. */
        NODE_STALL,
        /** A cache node dies, and is back empty and cold. */
        NODE_KILL,
        /** Discovery calls a cache node draining, and up again at the end. */
        NODE_DRAIN
    }

    /**
     * What a faulty link does.
     *
     * @param lose share of datagrams that vanish; 1: all of them, and connections are open and silent
     * @param delayMs each comes so much later
     * @param jitterMs and up to so much more, each by itself, so that some overtake others
     * @param twice share that come twice
     * @param corrupt share of which a byte is changed
     * @param reset whether connections are reset and new ones refused
     */
    public record LinkFigures(
            double lose, double delayMs, double jitterMs, double twice, double corrupt, boolean reset) {
        public static final LinkFigures CUT = new LinkFigures(1, 0, 0, 0, 0, false);

        public LinkFigures {
            if (!share(lose) || !share(twice) || !share(corrupt) || !(delayMs >= 0) || !(jitterMs >= 0)) {
                throw new IllegalArgumentException(
                        "link " + lose + ", " + delayMs + ", " + jitterMs + ", " + twice + ", " + corrupt);
            }
        }

        private static boolean share(double x) {
            return x >= 0 && x <= 1;
        }
    }

    /** Until when it lasts for all that it befalls. */
    public double endMs() {
        return atMs + forMs + staggerMs * Math.max(0, who.size() - 1);
    }

    public boolean onLinks() {
        return kind == Kind.LINK;
    }

    public boolean onNodes() {
        return kind == Kind.NODE_STALL || kind == Kind.NODE_KILL || kind == Kind.NODE_DRAIN;
    }

    /** The same, for as long. */
    public Fault lasting(double ms) {
        return new Fault(kind, atMs, ms, who, to, twoWay, figures, share, beatMs, loseDisk, staggerMs, holderOf);
    }

    /** The same at another time, and befalling whoever it befalls then. */
    public Fault at(double ms, List<String> whom, List<String> others) {
        return new Fault(kind, ms, forMs, whom, others, twoWay, figures, share, beatMs, loseDisk, staggerMs, holderOf);
    }

    /** The same, befalling others. */
    public Fault befalling(List<String> whom, List<String> others) {
        return new Fault(
                kind, atMs, forMs, whom, others, twoWay, figures, share, beatMs, loseDisk, staggerMs, holderOf);
    }

    /** As it is written in a scenario's file, so that a run can be repeated. */
    public String toToml() {
        StringBuilder text = new StringBuilder("[[fault]]\nkind = \"")
                .append(word(kind))
                .append("\"\nat_ms = ")
                .append(figure(atMs))
                .append("\nfor_ms = ")
                .append(figure(forMs))
                .append("\nwho = \"")
                .append(String.join(",", who))
                .append("\"\n");
        if (onLinks()) {
            text.append("to = \"")
                    .append(String.join(",", to))
                    .append("\"\ntwo_way = ")
                    .append(twoWay)
                    .append("\nlose = ")
                    .append(figures.lose)
                    .append("\ndelay_ms = ")
                    .append(figure(figures.delayMs))
                    .append("\njitter_ms = ")
                    .append(figure(figures.jitterMs))
                    .append("\ntwice = ")
                    .append(figures.twice)
                    .append("\ncorrupt = ")
                    .append(figures.corrupt)
                    .append("\nreset = ")
                    .append(figures.reset)
                    .append('\n');
        } else if (kind == Kind.SLOW) {
            text.append("share = ")
                    .append(share)
                    .append("\nbeat_ms = ")
                    .append(figure(beatMs))
                    .append('\n');
        } else if (kind == Kind.TERM || kind == Kind.KILL) {
            text.append("lose_disk = ").append(loseDisk).append('\n');
        }
        if (!holderOf.isEmpty()) {
            text.append("holder_of = \"").append(holderOf).append("\"\n");
        }
        return text.append("stagger_ms = ")
                .append(figure(staggerMs))
                .append('\n')
                .toString();
    }

    private static String figure(double x) {
        return x == Math.rint(x) ? Long.toString((long) x) : Double.toString(x);
    }

    /** A kind's name in files. */
    public static String word(Kind kind) {
        return kind.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }
}
