package cacheproxy.bench;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;

/** What the JVM counts for each thread. */
final class ThreadCounters {
    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

    private ThreadCounters() {}

    /** Bytes that a thread has allocated so far. */
    static long allocatedBytes(long threadId) {
        return THREADS.getThreadAllocatedBytes(threadId);
    }

    /** Bytes that the calling thread has allocated so far. */
    static long allocatedBytes() {
        return THREADS.getThreadAllocatedBytes(Thread.currentThread().getId());
    }

    /** CPU time that a thread has used so far, in nanoseconds; negative if it has ended. */
    static long cpuNanos(long threadId) {
        return THREADS.getThreadCpuTime(threadId);
    }
}
