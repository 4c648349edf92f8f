package cacheproxy.daemon.hooks;

import cacheproxy.config.HookConfig;
import cacheproxy.hooks.HookBreaker;
import cacheproxy.hooks.HookCall;
import cacheproxy.hooks.HookException;
import cacheproxy.hooks.HookInstance;
import cacheproxy.hooks.HookModule;
import cacheproxy.hooks.HookOrders;
import cacheproxy.proxy.EventLoopContext;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/**
 * A hook at work: its own thread with an instance of its module, and a queue of bounded length, so that no hook waits
 * for another and none for the event loop. A call that is not done in time is answered as failed whatever it still
 * does.
 */
public final class HookExecutor {
    /** Deep enough for any honest hook; a module that recurses without end runs into it. */
    private static final long STACK_BYTES = 512 << 10;

    private static final long START_SECONDS = 10;

    public final HookConfig spec;
    final HookBreaker breaker;
    private final HookModule module;
    private final ArrayBlockingQueue<Task> queue;
    private final Thread worker;
    private final boolean wantsAnswers;
    private volatile boolean stopping;
    private HookInstance instance;

    /**
     * Where a call's end goes, once: on the hook's thread where it has come to one, on the event loop where its time
     * was over.
     */
    interface Ended {
        /** Orders, or why there are none; {@code run} tells whether the hook was called at all. */
        void ended(HookOrders orders, String failure, boolean run);
    }

    /** One call: waits, runs, or is over; whoever gets it to its end first tells of it. */
    final class Task {
        final double untilMs;
        private final HookCall call;
        private final Ended ended;
        private final AtomicReference<String> state = new AtomicReference<>("waits");
        /** Null for a request. */
        private final HookCall.Answer answer;

        private final long elapsedMs;

        private Task(HookCall call, double untilMs, Ended ended, HookCall.Answer answer, long elapsedMs) {
            this.call = call;
            this.untilMs = untilMs;
            this.ended = ended;
            this.answer = answer;
            this.elapsedMs = elapsedMs;
        }

        /** Its time is over: tells of its end if nobody else does. On the event loop. */
        void expire() {
            String was;
            synchronized (worker) { // so that the next call is not interrupted in this one's place
                was = state.getAndSet("over");
                if (was.equals("runs")) {
                    worker.interrupt();
                }
            }
            if (!was.equals("over")) {
                ended.ended(
                        null,
                        was.equals("runs") ? "it took longer than it may" : "it waited too long for its turn",
                        was.equals("runs"));
            }
        }

        /** Hands it in; false if the queue is full, and its end is not told then. */
        boolean offer() {
            return queue.offer(this);
        }

        /** Takes back one that was not taken in; false if its time is over, whose end is told as of any. */
        boolean withdraw() {
            return state.compareAndSet("waits", "over");
        }
    }

    private HookExecutor(HookConfig spec, HookModule module, HookInstance first) {
        this.spec = spec;
        this.module = module;
        instance = first;
        wantsAnswers = first.wantsAnswers();
        breaker = new HookBreaker(spec.breakerFailureRatio(), spec.breakerOffMs());
        queue = new ArrayBlockingQueue<>(spec.queueCapacity());
        worker = new Thread(null, this::work, "hook " + spec.name(), STACK_BYTES);
        worker.setDaemon(true);
    }

    /**
     * Loads and starts a hook; not on the event loop. {@code on_load} has a thread of its own that is not waited for
     * long.
     */
    static HookExecutor start(HookConfig spec, byte[] bytes) throws HookException {
        HookModule module = HookModule.load(bytes, spec.limits(), spec.config());
        HookInstance[] first = new HookInstance[1];
        HookException[] failed = new HookException[1];
        CountDownLatch done = new CountDownLatch(1);
        Thread starter = new Thread(
                null,
                () -> {
                    try {
                        first[0] = new HookInstance(module, System::currentTimeMillis);
                    } catch (HookException e) {
                        failed[0] = e;
                    } finally {
                        done.countDown();
                    }
                },
                "hook " + spec.name() + " starts",
                STACK_BYTES);
        starter.setDaemon(true);
        starter.start();
        try {
            if (!done.await(START_SECONDS, TimeUnit.SECONDS)) {
                starter.interrupt();
                throw new HookException("it is not started after " + START_SECONDS + " s");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new HookException("interrupted");
        }
        if (failed[0] != null) {
            throw failed[0];
        }
        return new HookExecutor(spec, module, first[0]);
    }

    void begin() {
        worker.start();
    }

    /** A call that may take until then, on the core's clock; to be offered, and to be expired then. */
    Task task(HookCall call, double untilMs, Ended ended) {
        return new Task(call, untilMs, ended, null, 0);
    }

    /** Tells the module of an answer, if it asks for that and there is room; nothing waits for it. */
    void answered(HookCall call, HookCall.Answer answer, long elapsedMs) {
        queue.offer(new Task(call, 0, (o, f, r) -> {}, answer, elapsedMs));
    }

    /** Whether the module is to be told of answers. */
    boolean wantsAnswers() {
        return wantsAnswers;
    }

    private void work() {
        while (!stopping) {
            Task task;
            try {
                task = queue.take();
            } catch (InterruptedException e) {
                continue; // the watch of a call that has just ended, or the end of all
            }
            if (!task.state.compareAndSet("waits", "runs")) {
                continue;
            }
            HookOrders orders = null;
            String failure = null;
            try {
                if (instance == null) {
                    instance = new HookInstance(module, System::currentTimeMillis);
                }
                if (task.answer != null) {
                    logged(instance.answered(task.call, task.answer, task.elapsedMs));
                } else {
                    HookInstance.Result r = instance.call(task.call);
                    orders = r.orders();
                    logged(r.log());
                }
            } catch (HookException e) {
                failure = e.getMessage();
                logged(instance == null ? List.of() : instance.lastLog());
                instance = null; // what it has left behind is in no known state
            } catch (RuntimeException | Error e) {
                failure = "the host failed: " + HookExecutor.text(e);
                instance = null;
            }
            boolean first;
            synchronized (worker) {
                first = task.state.compareAndSet("runs", "over");
                Thread.interrupted(); // its watch may have come late
            }
            if (first) {
                task.ended.ended(orders, failure, true);
            }
        }
    }

    private static String text(Throwable e) {
        return String.valueOf(e.getMessage()).lines().findFirst().orElse("");
    }

    private volatile java.util.function.Consumer<String> log = line -> {};

    void log(EventLoopContext core) {
        log = line -> {
            if (core.takesLines()) { // a hook that writes without end would keep the loop busy with lines that it drops
                core.loop().execute(() -> core.log(line));
            }
        };
    }

    private void logged(List<String> lines) {
        lines.forEach(l -> log.accept("hook " + spec.name() + ": " + l));
    }

    public void stop() {
        stopping = true;
        worker.interrupt();
    }
}
