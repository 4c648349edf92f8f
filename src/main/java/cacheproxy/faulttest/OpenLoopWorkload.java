package cacheproxy.faulttest;

import cacheproxy.faulttest.scenario.Scenario;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * The clients of all proxies. They send requests at random times that don't depend on responses, each on a connection
 * without a request in flight, and record requests, responses, closed connections and timeouts in the history. A
 * request whose connection was closed is retried once at another proxy, unless it must not be applied twice. Each proxy
 * also gets pings, whose latency shows the lag of its event loop.
 *
 * <p>All state belongs to the event loop; the metrics can be read once the future of {@link #start} is done.
 */
final class OpenLoopWorkload {
    private static final long TICK_NANOS = 1_000_000;
    private static final long PING_MS = 250;
    private static final long MAX_RECORDED_US = 3_600_000_000L;
    private static final int FIRST_REQUEST_ID = 0x10000000;

    private final EventLoop loop;
    private final Scenario.Load load;
    private final History history;
    private final EventLoopLag lag;
    private final SplittableRandom random;
    private final ProxyClient[] clients;
    /** By proxy: the sum of the load shares of all proxies up to and including it. */
    private final double[] cumulativeShares;

    private final Histogram scheduleLagUs = new Histogram(MAX_RECORDED_US, 2);
    private final CompletableFuture<Void> done = new CompletableFuture<>();
    private Future<?> tickTask;
    private Future<?> pingTask;
    private long nextSendNanos;
    private long startNanos;
    private long endNanos;
    private int requestCount;
    private int pendingCount;
    private int failedConnects;
    private int rejectedByConnectionLimit;

    /** @param proxies the addresses to which clients connect, by proxy */
    OpenLoopWorkload(EventLoop loop, Scenario scenario, InetSocketAddress[] proxies, History history) {
        this.loop = loop;
        this.history = history;
        load = scenario.load();
        lag = EventLoopLag.of(loop);
        random = new SplittableRandom(scenario.seed() * 31 + 7);
        clients = new ProxyClient[proxies.length];
        cumulativeShares = new double[proxies.length];
        double sum = 0;
        for (int i = 0; i < proxies.length; i++) {
            clients[i] = new ProxyClient(this, i, proxies[i]);
            sum += Math.pow(i + 1, -load.skew());
            cumulativeShares[i] = sum;
        }
    }

    /** The key with an index, counted from 0, that clients read. */
    static String key(int index) {
        return "k/" + index;
    }

    /** Starts the load; the future is done once the load's time is over and no request is pending. */
    CompletableFuture<Void> start() {
        loop.execute(() -> {
            nextSendNanos = System.nanoTime();
            startNanos = nextSendNanos;
            endNanos = nextSendNanos + (long) (load.seconds() * 1e9);
            tickTask = loop.scheduleAtFixedRate(this::tick, TICK_NANOS, TICK_NANOS, TimeUnit.NANOSECONDS);
            pingTask = loop.scheduleAtFixedRate(this::pingAll, PING_MS, PING_MS, TimeUnit.MILLISECONDS);
        });
        return done;
    }

    private void pingAll() {
        for (ProxyClient client : clients) {
            client.ping();
        }
    }

    private void tick() {
        long nowNanos = System.nanoTime();
        while (nextSendNanos <= nowNanos && nextSendNanos < endNanos) {
            scheduleLagUs.recordValue(Math.min(MAX_RECORDED_US, (nowNanos - nextSendNanos) / 1000));
            sendNext();
            nextSendNanos += (long) (-Math.log(1 - random.nextDouble()) * 1e9 / load.perSecond());
        }
        if (nextSendNanos >= endNanos && pendingCount == 0 && !done.isDone()) {
            tickTask.cancel(false);
            pingTask.cancel(false);
            for (ProxyClient client : clients) {
                client.close();
            }
            done.complete(null);
        }
    }

    private void sendNext() {
        ProxyClient client = drawClient(nextSendNanos);
        client.send(drawRequest());
    }

    private ProxyClient drawClient(long atNanos) {
        double drawnShare = random.nextDouble() * cumulativeShares[cumulativeShares.length - 1];
        int found = Arrays.binarySearch(cumulativeShares, drawnShare);
        int proxy = Math.min(clients.length - 1, found < 0 ? -found - 1 : found);
        long rotations = load.rotationMs() > 0 ? (long) ((atNanos - startNanos) / 1e6 / load.rotationMs()) : 0;
        return clients[(int) ((proxy + rotations) % clients.length)];
    }

    private String nextId() {
        return Integer.toHexString(FIRST_REQUEST_ID + requestCount++);
    }

    private WorkloadRequest drawRequest() {
        String id = nextId();
        double drawnKind = random.nextDouble();
        if (drawnKind < load.writeShare()) {
            return WorkloadRequest.write(id, drawnKind < load.writeShare() / 2);
        }
        int key = random.nextDouble() < load.hotShare() ? 0 : random.nextInt(load.keys());
        return WorkloadRequest.read(id, key(key));
    }

    /** Retries a request whose connection was closed at a random other proxy, if a retry is allowed. */
    void retry(WorkloadRequest request, int failedProxy) {
        if (clients.length > 1 && request.markRetried()) {
            int other = random.nextInt(clients.length - 1);
            clients[other < failedProxy ? other : other + 1].send(request);
        }
    }

    /**
     * Sends a rejected read again under a new id, after the load's delay, to a proxy that is drawn like that of any
     * other request; does nothing if it may not be retried any more.
     */
    @SuppressWarnings("FutureReturnValueIgnored") // the timer is never cancelled
    void retryRejected(WorkloadRequest request) {
        if (!request.isRead() || request.rejections() >= load.retries()) {
            return;
        }
        countPending();
        loop.schedule(
                () -> {
                    countConcluded();
                    drawClient(System.nanoTime()).send(request.retryAs(nextId()));
                },
                (long) (load.retryDelayMs() * 1000),
                TimeUnit.MICROSECONDS);
    }

    /** Counts a request or connection attempt that has begun. */
    void countPending() {
        pendingCount++;
    }

    /** Counts a request or connection attempt that has ended. */
    void countConcluded() {
        pendingCount--;
    }

    /** Counts a request for which no connection could be established. */
    void countFailedConnect() {
        failedConnects++;
    }

    /** Counts a request for which no connection was free. */
    void countRejectedByConnectionLimit() {
        rejectedByConnectionLimit++;
    }

    /** The event loop of all clients. */
    EventLoop loop() {
        return loop;
    }

    /** The parameters of the load. */
    Scenario.Load load() {
        return load;
    }

    /** The history in which clients record events. */
    History history() {
        return history;
    }

    /** The lag of the event loop. */
    EventLoopLag lag() {
        return lag;
    }

    /** The 99th percentile of how much later than scheduled requests were sent, milliseconds. */
    double scheduleLagP99Ms() {
        return scheduleLagUs.getValueAtPercentile(99) / 1000.0;
    }

    /** Requests for which no connection could be established. */
    int failedConnects() {
        return failedConnects;
    }

    /** Requests for which no connection was free. */
    int rejectedByConnectionLimit() {
        return rejectedByConnectionLimit;
    }
}
