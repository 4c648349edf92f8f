package cacheproxy.bench;

import cacheproxy.config.DaemonConfigReader;
import cacheproxy.daemon.Daemon;
import cacheproxy.fakes.EffectLedger;
import cacheproxy.fakes.FakeCacheServer;
import cacheproxy.fakes.LoadClient;
import io.netty.channel.EventLoop;
import java.io.PrintWriter;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A thousand reloads, each with its hook modules compiled anew, while requests pass through the hooks. */
final class HookReloadBench {
    private static final int RELOADS = 1000;
    private static final int RELOADS_PER_ROW = 250;
    private static final List<String> HOOKS = List.of("key-schemes", "class-by-suffix", "tenant-list");

    private final PrintWriter out;

    HookReloadBench(PrintWriter out) {
        this.out = out;
    }

    /** Prints the memory in use after each quarter of the reloads, then what became of the requests. */
    void run() throws Exception {
        Path file = Files.createTempFile("hooks", ".toml");
        try (EventLoopThread servers = new EventLoopThread();
                EventLoopThread clients = new EventLoopThread();
                FakeCacheServer server = FakeCacheServer.start(servers.loop(), new EffectLedger())) {
            BenchConfig config = HookModules.withoutHooks(server);
            HOOKS.forEach(hook -> config.hook(hook, HookModules.honest(hook)));
            Files.writeString(file, config.text());
            try (Daemon daemon = Daemon.start(DaemonConfigReader.read(file), 1)) {
                BackgroundLoad load = new BackgroundLoad(clients.loop(), daemon.address("main"));
                load.start();
                reload(daemon, file);
                load.finish();
                out.println("requests meanwhile " + load.answered + ", lost " + load.lost);
            }
        } finally {
            Files.delete(file);
        }
    }

    private void reload(Daemon daemon, Path file) throws Exception {
        out.printf("%-10s %14s %16s %10s%n", "reloads", "heap MB", "metaspace MB", "threads");
        for (int i = 0; i <= RELOADS; i++) {
            if (i % RELOADS_PER_ROW == 0) {
                System.gc();
                out.printf(
                        "%-10d %14.1f %16.1f %10d%n", i, heapMegabytes(), metaspaceMegabytes(), Thread.activeCount());
                out.flush();
            }
            daemon.reload(file);
        }
    }

    private static double heapMegabytes() {
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed() / 1e6;
    }

    private static double metaspaceMegabytes() {
        return ManagementFactory.getMemoryPoolMXBeans().stream()
                .filter(pool -> pool.getName().equals("Metaspace"))
                .mapToDouble(pool -> pool.getUsage().getUsed() / 1e6)
                .sum();
    }

    /** Batches of requests, one after another, until it is finished; the counts may be read after that. */
    private static final class BackgroundLoad {
        private static final int BATCH = 500;
        private static final int CONNECTIONS = 2;
        private static final int IN_FLIGHT_PER_CONNECTION = 2;
        private static final long TIMEOUT_S = 60;

        private final EventLoop loop;
        private final InetSocketAddress address;
        private final Thread thread = new Thread(this::run, "clients");
        private volatile boolean over;
        private long answered;
        private long lost;

        BackgroundLoad(EventLoop loop, InetSocketAddress address) {
            this.loop = loop;
            this.address = address;
        }

        private void start() {
            thread.start();
        }

        private void finish() throws InterruptedException {
            over = true;
            thread.join();
        }

        private void run() {
            while (!over) {
                try {
                    LoadClient.LoadResult account = new LoadClient(loop, address, BATCH, BackgroundLoad::request)
                            .start(CONNECTIONS, IN_FLIGHT_PER_CONNECTION)
                            .get(TIMEOUT_S, TimeUnit.SECONDS);
                    answered += account.answered();
                    lost += account.lost + BATCH - account.answered();
                } catch (Exception e) {
                    lost += BATCH;
                }
            }
        }

        private static LoadClient.LoadRequest request(int number) {
            return new LoadClient.LoadRequest("A:" + number + "/vi", "", null, null);
        }
    }
}
