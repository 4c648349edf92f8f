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
 * The proxies of a run. They are started as in service, several at a time, and end with this process however it ends
 * ({@link ParentWatchdog}). Faults come from the fault injector's thread alone.
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

    /** @param initialEndpointList the endpoint list that a proxy is given when it starts, by its index */
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

    /** Where clients connect to, by proxy. */
    InetSocketAddress[] clientAddresses() {
        InetSocketAddress[] addresses = new InetSocketAddress[proxies.size()];
        for (int i = 0; i < addresses.length; i++) {
            addresses[i] = space.proxyAddress(i, AddressSpace.CLIENT_PORT);
        }
        return addresses;
    }

    /** A proxy, counted from 0. */
    ProxyProcess get(int proxy) {
        return proxies.get(proxy);
    }

    /**
     * Starts a proxy again that {@link ProxyProcess#end} has ended, after its process is gone.
     *
     * @param listener notified when the proxy is ready, with null, or when it failed, with the reason
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

    /** Kills all processes and waits until they are gone; a second call does nothing. */
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
