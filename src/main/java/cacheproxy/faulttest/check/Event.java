package cacheproxy.faulttest.check;

/**
 * One thing that happened to one of the processes of a run.
 *
 * @param us when, microseconds since the run's beginning, on the rig's monotonic clock
 * @param offUs how much earlier it may have been: what the rig was late in noticing
 * @param who the endpoint it happened to, or {@code rig}
 * @param what one of the words below
 * @param id the request's, or the mark of a write; empty where it is of none
 * @param detail a word or a line more; may be empty
 * @param value a figure more
 */
public record Event(long us, long offUs, String who, String what, String id, String detail, double value) {
    /** The scenario as it was played, in {@code detail}; the first of a history. */
    public static final String SCENARIO = "scenario";
    /**
     * A client's request has been sent to proxy {@code who}; detail: read, keyed, unsafe; value: its deadline in ms.
     */
    public static final String ASKED = "asked";
    /** Its answer; detail: served, refused, failed, wrong. */
    public static final String ANSWERED = "answered";
    /** Its connection ended without a whole answer. */
    public static final String GONE = "gone";
    /** The client waits no longer. */
    public static final String LEFT = "left";
    /** A command of this request came to node {@code who}. */
    public static final String ARRIVED = "arrived";
    /** A write took effect, at whichever node or the origin. */
    public static final String EFFECT = "effect";
    /** Discovery calls node {@code who} draining, or up again. */
    public static final String DRAINING = "draining";

    public static final String UP = "up";
    /** A node died; it is back, empty. */
    public static final String DIED = "died";

    public static final String BORN = "born";
    /** What befell a proxy's process. */
    public static final String STARTED = "started";

    public static final String READY = "ready";
    public static final String STOPPED = "stopped";
    public static final String CONTINUED = "continued";
    public static final String KILLED = "killed";
    public static final String TERMED = "termed";
    /** The process has ended; value: its exit code. */
    public static final String ENDED = "ended";
    /** A process wrote a line, in {@code detail}. */
    public static final String SAID = "said";
    /** A fault was put in, taken back; detail: which. */
    public static final String FAULT = "fault";

    public static final String HEALED = "healed";

    /** A proxy answered an empty call; value: after so many ms. */
    public static final String PULSE = "pulse";

    /**
     * Proxy {@code who} was asked whether it holds duty {@code id}; from the question on; detail: yes or no; value: its
     * epoch.
     */
    public static final String DUTY = "duty";

    /**
     * What a job beside proxy {@code who} did under duty {@code id} has reached its store; detail: accepted, refused;
     * value: its epoch.
     */
    public static final String ACT = "act";

    /** The earliest that it can have been. */
    public long earliest() {
        return us - offUs;
    }

    public double ms() {
        return us / 1000.0;
    }
}
