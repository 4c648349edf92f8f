package cacheproxy.faulttest.check;

/**
 * One observation of a fault test run, made from outside the processes. Its types and details are the plain strings of
 * the history file, so that a history with types of another release can still be read; checkers ignore types that they
 * don't know.
 *
 * @param timeUs when it was noticed, microseconds since the run's start on the runner's monotonic clock
 * @param uncertaintyUs how much earlier it may have happened, microseconds: the delay of the runner in noticing it
 * @param endpoint the proxy or server that it happened to, or {@link #RUNNER}
 * @param type one of the event types below
 * @param id the id of the request, write, lease or fault; empty where there is none
 * @param detail a result or text that depends on the type; may be empty
 * @param value a number that depends on the type; 0 where there is none
 */
public record Event(
        long timeUs, long uncertaintyUs, String endpoint, String type, String id, String detail, double value) {
    /** The {@link #endpoint} of events of the test runner itself. */
    public static final String RUNNER = "rig";

    /** The scenario as it was played: name in {@code id}, TOML in {@code detail}; the first event of a history. */
    public static final String SCENARIO = "scenario";
    /**
     * A client's request was sent to a proxy. Detail: {@link #READ}, {@link #KEYED_WRITE} or {@link #UNSAFE_WRITE};
     * value: its deadline, ms.
     */
    public static final String REQUEST_SENT = "asked";
    /** A response was received. Detail: {@link #SERVED}, {@link #REJECTED}, {@link #FAILED} or {@link #WRONG}. */
    public static final String RESPONSE_RECEIVED = "answered";
    /** The request's connection ended without a complete response. */
    public static final String CONNECTION_CLOSED = "gone";
    /** The client stopped waiting. */
    public static final String CLIENT_TIMED_OUT = "left";
    /** A command of the request arrived at a cache server. */
    public static final String COMMAND_ARRIVED = "arrived";
    /** A write took effect, at a cache server or at the origin. */
    public static final String WRITE_APPLIED = "effect";
    /** Discovery lists a cache server as draining. */
    public static final String SERVER_DRAINING = "draining";
    /** Discovery lists a cache server as up again. */
    public static final String SERVER_UP = "up";
    /** A cache server was killed. */
    public static final String SERVER_KILLED = "died";
    /** A killed cache server was restarted, empty and cold. */
    public static final String SERVER_STARTED = "born";
    /** A proxy's process was started; value: its process id. */
    public static final String PROCESS_STARTED = "started";
    /** A proxy's process is ready to serve; value: its process id. */
    public static final String PROCESS_READY = "ready";
    /** A proxy's process was paused by SIGSTOP. */
    public static final String PROCESS_PAUSED = "stopped";
    /** A proxy's process was resumed by SIGCONT. */
    public static final String PROCESS_RESUMED = "continued";
    /** A proxy's process was sent SIGKILL. */
    public static final String PROCESS_KILLED = "killed";
    /** A proxy's process was sent SIGTERM. */
    public static final String PROCESS_TERMINATING = "termed";
    /** A proxy's process exited; value: its exit code. */
    public static final String PROCESS_EXITED = "ended";
    /** A proxy's process wrote a line; detail: the line. */
    public static final String LOG_LINE = "said";
    /** A fault began; id: its index in the scenario; detail: its kind and targets. */
    public static final String FAULT_STARTED = "fault";
    /** A fault ended; id: its index in the scenario. */
    public static final String FAULT_ENDED = "healed";
    /** A proxy responded to a ping; value: its latency, ms. */
    public static final String PROXY_PINGED = "pulse";
    /**
     * A proxy responded to a poll for whether it holds lease {@code id}. The uncertainty reaches back to the sending of
     * the poll. Detail: {@link #HELD} or {@link #NOT_HELD}; value: the epoch.
     */
    public static final String LEASE_POLLED = "duty";
    /**
     * An action of a proxy's job under lease {@code id} reached its store. Detail: {@link #ACCEPTED} or
     * {@link #REJECTED}; value: the epoch.
     */
    public static final String LEADER_ACTION = "act";

    /** Detail of {@link #REQUEST_SENT}: a read. */
    public static final String READ = "read";
    /** Detail of {@link #REQUEST_SENT}: a write with an idempotency key. */
    public static final String KEYED_WRITE = "keyed";
    /** Detail of {@link #REQUEST_SENT}: a write that must not be repeated. */
    public static final String UNSAFE_WRITE = "unsafe";
    /** Detail of {@link #RESPONSE_RECEIVED}: a success with the expected content. */
    public static final String SERVED = "served";
    /** Detail of {@link #RESPONSE_RECEIVED} and {@link #LEADER_ACTION}: a rejection. */
    public static final String REJECTED = "refused";
    /** Detail of {@link #RESPONSE_RECEIVED}: an error. */
    public static final String FAILED = "failed";
    /** Detail of {@link #RESPONSE_RECEIVED}: content that does not belong to the request. */
    public static final String WRONG = "wrong";
    /** Detail of {@link #LEASE_POLLED}: the proxy holds the lease. */
    public static final String HELD = "yes";
    /** Detail of {@link #LEASE_POLLED}: the proxy does not hold the lease. */
    public static final String NOT_HELD = "no";
    /** Detail of {@link #LEADER_ACTION}: the store accepted it. */
    public static final String ACCEPTED = "accepted";

    /** Returns whether the event has this type. */
    public boolean is(String expectedType) {
        return type.equals(expectedType);
    }

    /** Returns whether the event has this type and this detail. */
    public boolean is(String expectedType, String expectedDetail) {
        return type.equals(expectedType) && detail.equals(expectedDetail);
    }

    /** The earliest time at which it can have happened, microseconds since the run's start. */
    public long earliestUs() {
        return timeUs - uncertaintyUs;
    }

    /** When it was noticed, milliseconds since the run's start. */
    public double timeMs() {
        return timeUs / 1000.0;
    }
}
