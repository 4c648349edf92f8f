package cacheproxy.policy;

/** Where the module's orders go. They are carried out in order, at the time of the event. */
public interface PolicyActions {
    /** Sends an attempt of a request to a server; a timeout of 0 waits until the request is due. Milliseconds. */
    void place(int request, int server, double timeoutMs);

    /** Final answer: turned away, a retry is harmless. Advice 0: none. */
    void deny(int request, double retryAfterMs);

    /** Final answer: failed, nothing promised. */
    void fail(int request);

    /** Stops waiting for an attempt. */
    void cancel(int request, int attempt);

    /** Asks for {@link PolicyApi#onTimer} after this time. */
    void setTimer(double afterMs, int token);

    /** Asks siblings about a request's key; {@link PolicyApi#onSibling} tells of the first that has it. */
    default void ask(int request, double waitMs) {}

    /** Tests a server. */
    void probe(int server);

    /** Closes the idle connections to a server. */
    void closeIdle(int server);

    /** Sends bytes to another instance; -1: to all. */
    void tell(int peer, byte[] message);

    /** Subscribes to changes of the list, or ends that. */
    void watch(boolean enabled);

    /** Asks for the whole list once. */
    void fetchList();

    /** A line for the operators. */
    void log(String line);
}
