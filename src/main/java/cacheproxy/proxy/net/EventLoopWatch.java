package cacheproxy.proxy.net;

import io.netty.channel.EventLoopGroup;

/**
 * Notices that an event loop has ended although nobody shut it down, as after an error that Netty does not handle. A
 * process without its event loop would hold its sockets and answer nobody, so it has to end.
 */
public final class EventLoopWatch {
    private static final int LOOP_ENDED_STATUS = 4;

    private volatile boolean ending;

    private EventLoopWatch() {}

    /** Ends the process with a line on standard error if the loop ends unexpectedly. */
    public static EventLoopWatch haltWhenEnded(EventLoopGroup group) {
        return start(group, () -> {
            System.err.println("the event loop has ended: the process ends");
            Runtime.getRuntime().halt(LOOP_ENDED_STATUS);
        });
    }

    /** Runs the action, on another thread, if the loop ends unexpectedly. */
    static EventLoopWatch start(EventLoopGroup group, Runnable onUnexpectedEnd) {
        EventLoopWatch watch = new EventLoopWatch();
        group.terminationFuture().addListener(ended -> {
            if (!watch.ending) {
                onUnexpectedEnd.run();
            }
        });
        return watch;
    }

    /** Records that the loop is about to be shut down. */
    public void expectEnd() {
        ending = true;
    }
}
