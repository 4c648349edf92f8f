package cacheproxy.daemon.hooks;

import cacheproxy.config.HookConfig;
import cacheproxy.hooks.HookCall;
import cacheproxy.hooks.HookCircuitBreaker;
import cacheproxy.hooks.HookException;
import cacheproxy.hooks.HookInstance;
import cacheproxy.hooks.HookModule;
import cacheproxy.hooks.HookOrders;
import cacheproxy.proxy.upstream.EventLoopContext;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

/**
 * Runs one hook: a thread with an instance of the module and a bounded queue, so that hooks wait neither for one
 * another nor for the event loop. A call that misses its timeout has failed whatever the module still does.
 */
public final class HookExecutor {
    /** Stack of a hook's thread, which bounds a module's recursion. */
    private static final long STACK_BYTES = 512 << 10;

    private static final long START_SECONDS = 10;

    /** Its section of the configuration. */
    public final HookConfig config;

    final HookCircuitBreaker breaker;
    private final HookModule module;
    private final ArrayBlockingQueue<Task> queue;
    private final Thread worker;
    private final boolean wantsAnswers;
    private volatile boolean stopping;
    private volatile Consumer<String> logTo = line -> {};
    private HookInstance instance;

    /** Receives the end of a call, once: on the hook's thread, or on the event loop after a timeout. */
    interface CompletionListener {
        /** Receives orders, or why there are none; {@code called} tells whether the hook was called at all. */
        void completed(HookOrders orders, String failure, boolean called);
    }

    private enum State {
        QUEUED,
        RUNNING,
        ENDED
    }

    /** One call: queued, running or ended; whoever ends it first reports it. */
    final class Task {
        final double deadlineMs;
        private final HookCall call;
        private final CompletionListener ended;
        private final AtomicReference<State> state = new AtomicReference<>(State.QUEUED);
        /** Null for a request. */
        private final HookCall.Answer answer;

        private final long elapsedMs;

        private Task(HookCall call, double untilMs, CompletionListener ended, HookCall.Answer answer, long elapsedMs) {
            this.call = call;
            this.deadlineMs = untilMs;
            this.ended = ended;
            this.answer = answer;
            this.elapsedMs = elapsedMs;
        }

        /** Ends the call on its timeout, unless it has ended; on the event loop. */
        void expire() {
            State previous;
            synchronized (worker) { // so that the next call is not interrupted in this one's place
                previous = state.getAndSet(State.ENDED);
                if (previous == State.RUNNING) {
                    worker.interrupt();
                }
            }
            if (previous != State.ENDED) {
                ended.completed(
                        null,
                        previous == State.RUNNING ? "it took longer than it may" : "it waited too long for its turn",
                        previous == State.RUNNING);
            }
        }

        /** Queues the call; false if the queue is full, and then its end is not reported. */
        boolean offer() {
            return queue.offer(this);
        }

        /** Withdraws a call that was not queued; false if it has timed out, which is reported as usual. */
        boolean withdraw() {
            return state.compareAndSet(State.QUEUED, State.ENDED);
        }
    }

    private HookExecutor(HookConfig config, HookModule module, HookInstance first) {
        this.config = config;
        this.module = module;
        instance = first;
        wantsAnswers = first.wantsAnswers();
        breaker = new HookCircuitBreaker(config.breakerFailureRatio(), config.breakerOffMs());
        queue = new ArrayBlockingQueue<>(config.queueCapacity());
        worker = new Thread(null, this::work, "hook " + config.name(), STACK_BYTES);
        worker.setDaemon(true);
    }

    /**
     * Loads and starts a hook; not on the event loop. The module's {@code on_load} may take {@value #START_SECONDS} s.
     */
    static HookExecutor start(HookConfig config, byte[] bytes) throws HookException {
        HookModule module = HookModule.load(bytes, config.limits(), config.config());
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
                "hook " + config.name() + " starts",
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
        return new HookExecutor(config, module, first[0]);
    }

    /** Starts the hook's thread. */
    void startWorker() {
        worker.start();
    }

    /** A call with a deadline on the event loop's clock, to be offered, and expired at the deadline. */
    Task task(HookCall call, double untilMs, CompletionListener ended) {
        return new Task(call, untilMs, ended, null, 0);
    }

    /** Reports a response to the module, unless the queue is full; nothing waits for it. */
    void notifyAnswer(HookCall call, HookCall.Answer answer, long elapsedMs) {
        queue.offer(new Task(call, 0, (orders, failure, called) -> {}, answer, elapsedMs));
    }

    /** Returns whether the module wants to know responses. */
    boolean wantsAnswers() {
        return wantsAnswers;
    }

    private void work() {
        while (!stopping) {
            Task task;
            try {
                task = queue.take();
            } catch (InterruptedException e) {
                continue; // a late timeout of the previous call, or stop()
            }
            if (!task.state.compareAndSet(State.QUEUED, State.RUNNING)) {
                continue;
            }
            HookOrders orders = null;
            String failure = null;
            try {
                if (instance == null) {
                    instance = new HookInstance(module, System::currentTimeMillis);
                }
                if (task.answer != null) {
                    logged(instance.notifyAnswer(task.call, task.answer, task.elapsedMs));
                } else {
                    HookInstance.Result result = instance.call(task.call);
                    orders = result.orders();
                    logged(result.logLines());
                }
            } catch (HookException e) {
                failure = e.getMessage();
                logged(instance == null ? List.of() : instance.lastLogLines());
                instance = null; // its state is undefined now
            } catch (RuntimeException | Error e) { // a fault of the WebAssembly runtime must not end the thread
                failure = "the host failed: " + HookExecutor.text(e);
                instance = null;
            }
            boolean first;
            synchronized (worker) {
                first = task.state.compareAndSet(State.RUNNING, State.ENDED);
                Thread.interrupted(); // its timeout may have come late
            }
            if (first) {
                task.ended.completed(orders, failure, true);
            }
        }
    }

    private static String text(Throwable failure) {
        return String.valueOf(failure.getMessage()).lines().findFirst().orElse("");
    }

    /** Logs the module's lines on the event loop from now on. */
    void logTo(EventLoopContext core) {
        logTo = line -> {
            if (core.takesLines()) { // a hook that writes without end would keep the loop busy with lines that it drops
                core.loop().execute(() -> core.log(line));
            }
        };
    }

    private void logged(List<String> lines) {
        lines.forEach(text -> logTo.accept("hook " + config.name() + ": " + text));
    }

    /** Ends the hook's thread; calls in the queue are not run. */
    public void stop() {
        stopping = true;
        worker.interrupt();
    }
}
