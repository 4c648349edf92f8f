package cacheproxy.proxy.net;

import java.util.function.Consumer;

/**
 * Counts and logs exceptions and errors that the program did not expect, with the place where they were thrown, so that
 * what comes after them on the event loop can continue. Only a Java heap that is exhausted ends the process: nothing
 * that runs after that can be relied on. Used on the event loop only.
 */
public final class FaultMonitor {
    /** The exit status of a process whose heap is exhausted, as with {@code -XX:+ExitOnOutOfMemoryError}. */
    private static final int HEAP_EXHAUSTED_STATUS = 3;
    /** In the JDK's message that direct memory is exhausted, from which the process recovers. */
    private static final String DIRECT_MEMORY = "direct buffer memory";

    private final Consumer<String> log;
    private final Runnable halt;
    private long count;

    /** Creates a monitor that ends the process if its heap is exhausted. */
    public FaultMonitor(Consumer<String> log) {
        this(log, () -> Runtime.getRuntime().halt(HEAP_EXHAUSTED_STATUS));
    }

    FaultMonitor(Consumer<String> log, Runnable halt) {
        this.log = log;
        this.halt = halt;
    }

    /** Records a fault. */
    public void record(Throwable fault) {
        count++;
        StackTraceElement[] trace = fault.getStackTrace();
        log.accept("fault: " + fault + (trace.length > 0 ? " at " + trace[0] : ""));
        if (isHeapExhausted(fault)) {
            halt.run();
        }
    }

    private static boolean isHeapExhausted(Throwable fault) {
        return fault instanceof OutOfMemoryError
                && !(fault.getMessage() != null && fault.getMessage().contains(DIRECT_MEMORY));
    }

    /** How many faults have been recorded. */
    public long count() {
        return count;
    }
}
