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
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

/**
 * Runs one hook on its own thread, with an instance of the module and a bounded queue, so that hooks wait neither for
 * one another nor for the event loop. A call that exceeds its timeout has failed, whatever the module does afterwards.
 */
public final class HookExecutor {
    /** Stack size of a hook's thread, which limits a module's recursion. */
    private static final long STACK_BYTES = 512 << 10;

    private static final long START_TIMEOUT_SECONDS = 10;

    /** The hook's section of the configuration. */
    public final HookConfig config;

    final HookCircuitBreaker breaker;
    private final HookModule module;
    private final ArrayBlockingQueue<HookTask> queue;
    private final Thread worker;
    private final boolean wantsAnswers;
    private volatile boolean stopping;
    private volatile Consumer<String> log = line -> {};
    /** Used on the hook's thread only; null after a failed call, which leaves its instance in an undefined state. */
    private HookInstance instance;

    private HookExecutor(HookConfig config, HookModule module, HookInstance firstInstance) {
        this.config = config;
        this.module = module;
        instance = firstInstance;
        wantsAnswers = firstInstance.wantsAnswers();
        breaker = new HookCircuitBreaker(config.breakerFailureRatio(), config.breakerOffMs());
        queue = new ArrayBlockingQueue<>(config.queueCapacity());
        worker = new Thread(null, this::work, "hook " + config.name(), STACK_BYTES);
        worker.setDaemon(true);
    }

    /**
     * Loads and starts a hook; not on the event loop. The module's {@code on_load} may take
     * {@value #START_TIMEOUT_SECONDS} s.
     *
     * @param bytes the module's binary form
     * @throws HookException if the module does not load or start
     */
    static HookExecutor load(HookConfig config, byte[] bytes) throws HookException {
        HookModule module = HookModule.load(bytes, config.limits(), config.config());
        return new HookExecutor(config, module, startInstance(config, module));
    }

    /** Starts the first instance on a thread with the same stack size as the thread of the calls. */
    private static HookInstance startInstance(HookConfig config, HookModule module) throws HookException {
        FutureTask<HookInstance> start = new FutureTask<>(() -> newInstance(module));
        Thread starter = new Thread(null, start, "hook " + config.name() + " starts", STACK_BYTES);
        starter.setDaemon(true);
        starter.start();
        try {
            return start.get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (TimeoutException e) {
            starter.interrupt();
            throw new HookException("it did not start within " + START_TIMEOUT_SECONDS + " s");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new HookException("interrupted while it started");
        } catch (ExecutionException e) {
            if (e.getCause() instanceof HookException failure) {
                throw failure;
            }
            throw new IllegalStateException(e.getCause());
        }
    }

    private static HookInstance newInstance(HookModule module) throws HookException {
        return new HookInstance(module, System::currentTimeMillis);
    }

    /** Starts the hook's thread. */
    void startWorker() {
        worker.start();
    }

    /**
     * Creates a call with a deadline on the event loop's clock. The caller has to {@link #offer} it, and to expire it
     * at the deadline.
     */
    HookTask newTask(HookCall call, double deadlineMs, HookTask.CompletionListener listener) {
        return HookTask.ofRequest(worker, call, deadlineMs, listener);
    }

    /** Queues a call. Returns false if the queue is full; the end of the call is then not reported. */
    boolean offer(HookTask task) {
        return queue.offer(task);
    }

    /** Reports a response to the module, unless the queue is full; nothing waits for it. */
    void notifyAnswer(HookCall call, HookCall.Answer answer, long elapsedMs) {
        queue.offer(HookTask.ofAnswer(worker, call, answer, elapsedMs));
    }

    /** Returns whether the module wants to be notified of responses. */
    boolean wantsAnswers() {
        return wantsAnswers;
    }

    private void work() {
        while (!stopping) {
            HookTask task;
            try {
                task = queue.take();
            } catch (InterruptedException e) {
                continue; // interrupted by a late timeout of the previous call, or by stop()
            }
            if (task.begin()) {
                run(task);
            }
        }
    }

    private void run(HookTask task) {
        HookOrders orders = null;
        String failure = null;
        try {
            orders = callModule(task);
        } catch (HookException e) {
            failure = e.getMessage();
            logLines(instance == null ? List.of() : instance.lastLogLines());
            instance = null; // its state is undefined after a failure
        } catch (RuntimeException | Error e) { // a failure of the WebAssembly runtime must not end the thread
            failure = "the WebAssembly runtime failed: " + firstLine(e);
            instance = null;
        }
        task.complete(orders, failure);
    }

    /** Returns the module's orders; null if the call was a notification of a response. */
    private HookOrders callModule(HookTask task) throws HookException {
        if (instance == null) {
            instance = newInstance(module);
        }
        if (task.answer() != null) {
            logLines(instance.notifyAnswer(task.call(), task.answer(), task.elapsedMs()));
            return null;
        }
        HookInstance.Result result = instance.call(task.call());
        logLines(result.logLines());
        return result.orders();
    }

    private static String firstLine(Throwable failure) {
        return String.valueOf(failure.getMessage()).lines().findFirst().orElse("");
    }

    /** Logs the module's lines on the event loop from now on. */
    void logTo(EventLoopContext core) {
        log = line -> {
            // Otherwise a hook that logs endlessly would keep the loop busy with lines that are dropped.
            if (core.acceptsLines()) {
                core.loop().execute(() -> core.log(line));
            }
        };
    }

    private void logLines(List<String> lines) {
        lines.forEach(line -> log.accept("hook " + config.name() + ": " + line));
    }

    /** Stops the hook's thread; queued calls are not run. */
    public void stop() {
        stopping = true;
        worker.interrupt();
    }
}
