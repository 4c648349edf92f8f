package cacheproxy.faulttest;

import cacheproxy.faulttest.scenario.Scenario;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import java.util.function.IntFunction;

/**
 * The proxies of a run. They are started as in production, several at a time, and exit when this process exits for any
 * reason ({@link ParentWatchdog}). Faults are injected from the fault injector's thread only.
 */
final class ProxyProcesses implements AutoCloseable {
    private final Scenario scenario;
    private final AddressSpace space;
    private final ProxyConfigFiles configFiles;
    private final ProcessSignals signals = new ProcessSignals();
    private final ExecutorService startExecutor;
    private final SplittableRandom seeds;
    private final List<ProxyProcess> proxies = new ArrayList<>();
    private volatile boolean closing;

    /** @param initialEndpointList the endpoint list that is passed to a proxy when it starts, by the proxy's index */
    ProxyProcesses(
            Scenario scenario,
            AddressSpace space,
            Path folder,
            History history,
            IntFunction<JsonObject> initialEndpointList)
            throws IOException {
        this.scenario = scenario;
        this.space = space;
        configFiles = new ProxyConfigFiles(scenario, space, initialEndpointList);
        seeds = new SplittableRandom(scenario.seed() + 99);
        startExecutor = Executors.newFixedThreadPool(scenario.concurrentStarts(), task -> {
            Thread thread = new Thread(task, "starter");
            thread.setDaemon(true);
            return thread;
        });
        for (int i = 0; i < scenario.proxies(); i++) {
            InetSocketAddress address = space.proxyAddress(i, AddressSpace.CLIENT_PORT);
            proxies.add(new ProxyProcess(i, address, folder, history, signals, () -> closing));
        }
    }

    /** Starts all proxies, as many at a time as the scenario says, and waits until they are ready. */
    void startAll() throws IOException, InterruptedException {
        List<Future<?>> starts = new ArrayList<>();
        for (int i = 0; i < proxies.size(); i++) {
            int proxy = i;
            starts.add(startExecutor.submit(() -> {
                start(proxy);
                return null;
            }));
        }
        for (Future<?> start : starts) {
            try {
                start.get();
            } catch (ExecutionException e) {
                throw new IOException(e.getCause().getMessage(), e.getCause());
            }
        }
    }

    private void start(int proxy) throws IOException, InterruptedException {
        proxies.get(proxy).prepareFolder();
        long seed;
        synchronized (seeds) {
            seed = seeds.nextLong();
        }
        proxies.get(proxy).start(scenario.program(), configFiles.of(proxy, seed));
    }

    /** The addresses to which clients connect, by proxy. */
    InetSocketAddress[] clientAddresses() {
        InetSocketAddress[] addresses = new InetSocketAddress[proxies.size()];
        for (int i = 0; i < addresses.length; i++) {
            addresses[i] = space.proxyAddress(i, AddressSpace.CLIENT_PORT);
        }
        return addresses;
    }

    /** Returns a proxy by its index, counted from 0. */
    ProxyProcess get(int proxy) {
        return proxies.get(proxy);
    }

    /**
     * Restarts a proxy that {@link ProxyProcess#end} has ended, after its process has exited.
     *
     * @param listener called with null when the proxy is ready, or with the reason when the restart failed
     */
    @SuppressWarnings("FutureReturnValueIgnored") // the task reports its own failure
    void restart(int proxy, boolean emptyDisk, Consumer<Exception> listener) {
        startExecutor.submit(() -> {
            try {
                restart(proxy, emptyDisk);
                listener.accept(null);
            } catch (IOException | RuntimeException e) {
                listener.accept(e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private void restart(int proxy, boolean emptyDisk) throws IOException, InterruptedException {
        proxies.get(proxy).awaitExit();
        if (emptyDisk) {
            proxies.get(proxy).emptyDisk();
        }
        if (!closing) {
            start(proxy);
        }
    }

    @Override
    public void close() {
        killAll();
    }

    /** Kills all processes and waits until they have exited; a second call does nothing. */
    synchronized void killAll() {
        if (closing) {
            return;
        }
        closing = true;
        startExecutor.shutdownNow();
        proxies.forEach(ProxyProcess::killAtRunEnd);
        for (ProxyProcess proxy : proxies) {
            try {
                proxy.awaitExitWithoutTimeout();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        signals.close();
    }
}
