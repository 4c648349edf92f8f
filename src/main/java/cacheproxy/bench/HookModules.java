package cacheproxy.bench;

import cacheproxy.fakes.FakeCacheServer;
import java.nio.file.Path;
import java.util.List;

/** The hook modules of the repository, and configurations that use them. */
final class HookModules {
    /** Directory of the example hooks, relative to the repository. */
    static final Path HONEST = Path.of("hooks");
    /** Directory of the hooks that misbehave, relative to the repository. */
    static final Path HOSTILE = Path.of("src/test/resources/hooks");
    /** Names of the modules that misbehave. */
    static final List<String> HOSTILE_SUITE = List.of(
            "spin",
            "recurse",
            "trap",
            "grow",
            "grow-touch",
            "pointer",
            "long",
            "utf8",
            "logs",
            "lower",
            "unknown-route",
            "alternates",
            "burns",
            "state",
            "sometimes",
            "copies");

    private static final int HOSTILE_QUEUE = 16;

    private HookModules() {}

    /** The file of an example hook. */
    static Path honest(String name) {
        return HONEST.resolve(name + ".wasm");
    }

    /** Listeners {@code main}, {@code calm} and {@code hostile}; no hooks, servers or routes. */
    static BenchConfig listeners() {
        BenchConfig config = new BenchConfig().serviceClass("page", "safe").serviceClass("submit", "unsafe");
        for (String listener : List.of("main", "calm", "hostile")) {
            config.openListener(listener).string("write_class", "submit");
        }
        return config;
    }

    /** The listeners before one server, without hooks. */
    static BenchConfig withoutHooks(FakeCacheServer server) {
        return listeners().singleServer("n", server);
    }

    /** The same with all hooks that misbehave on listener {@code hostile}. */
    static BenchConfig withHostileHooks(FakeCacheServer server) {
        BenchConfig config = listeners();
        for (String name : HOSTILE_SUITE) {
            config.hook(name, HOSTILE.resolve(name + ".wasm"))
                    .string("listener", "hostile")
                    .number("queue", HOSTILE_QUEUE);
        }
        return config.singleServer("n", server);
    }
}
