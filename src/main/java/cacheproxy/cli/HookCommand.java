package cacheproxy.cli;

import cacheproxy.hooks.HookCall;
import cacheproxy.hooks.HookException;
import cacheproxy.hooks.HookInstance;
import cacheproxy.hooks.HookModule;
import cacheproxy.hooks.HookOrders;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(
        name = "hook",
        mixinStandardHelpOptions = true,
        description = "Tries plug-ins outside of the daemon.",
        subcommands = HookCommand.Test.class)
final class HookCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "name a command");
    }

    @Command(
            name = "test",
            mixinStandardHelpOptions = true,
            description = "Runs one call and prints what it orders, its fuel and "
                    + "time. Exit 0: it gave orders, or none; 1: the call failed; 2: the module does not load.")
    static final class Test implements Callable<Integer> {
        private static final int TIMED = 2000;

        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "MODULE", description = "The .wasm file.")
        private Path module;

        @Option(names = "--request", paramLabel = "KEY", required = true, description = "The key.")
        private String key;

        @Option(names = "--class", paramLabel = "NAME", defaultValue = "page", description = "The class.")
        private String serviceClass;

        @Option(names = "--tenant", paramLabel = "NAME", defaultValue = "", description = "The tenant.")
        private String tenant;

        @Option(names = "--write", description = "It is a write.")
        private boolean write;

        @Option(
                names = "--remaining-ms",
                paramLabel = "MS",
                defaultValue = "1000",
                description = "Until the client gives up.")
        private long remaining;

        @Option(names = "--config", paramLabel = "TEXT", defaultValue = "", description = "The hook's configuration.")
        private String config;

        @Option(names = "--fuel", paramLabel = "N", defaultValue = "200000", description = "Fuel for the call.")
        private long fuel;

        @Option(names = "--memory-pages", paramLabel = "N", defaultValue = "16", description = "Pages of 64 KiB.")
        private int pages;

        @Option(names = "--interpret", description = "Interpreted, not compiled.")
        private boolean interpret;

        @Override
        public Integer call() {
            PrintWriter out = spec.commandLine().getOut();
            PrintWriter err = spec.commandLine().getErr();
            HookModule.Limits limits = new HookModule.Limits(pages, fuel, 10_000_000, 1000, !interpret);
            HookCall call = new HookCall(key, serviceClass, tenant, write, false, remaining);
            HookInstance instance;
            try {
                byte[] bytes = Files.readAllBytes(module);
                out.println("sha256 " + HookModule.sha256Hex(bytes));
                instance = new HookInstance(HookModule.load(bytes, limits, config), System::currentTimeMillis);
            } catch (IOException e) {
                err.println(module + " can't be read");
                return Cli.UNUSABLE;
            } catch (HookException e) {
                err.println(module + " does not load: " + e.getMessage());
                return Cli.UNUSABLE;
            }
            try {
                HookInstance.Result r = instance.call(call);
                r.logLines().forEach(l -> out.println("log " + l));
                lines(r.orders()).forEach(out::println);
                long at = System.nanoTime();
                for (int i = 0; i < TIMED; i++) {
                    instance.call(call);
                }
                out.printf("fuel %d of %d, %.1f us a call%n", r.fuel(), fuel, (System.nanoTime() - at) / 1e3 / TIMED);
                return 0;
            } catch (HookException e) {
                instance.lastLogLines().forEach(l -> out.println("log " + l));
                err.println("the call failed: " + e.getMessage());
                return 1;
            }
        }

        private static List<String> lines(HookOrders o) {
            List<String> lines = new ArrayList<>();
            add(lines, "key", o.key());
            add(lines, "class", o.serviceClass());
            add(lines, "tenant", o.tenant());
            add(lines, "route", o.route());
            add(lines, "refuse", o.refuseMs() > 0 ? o.refuseMs() + " ms" : null);
            add(lines, "remaining", o.remainingMs() > 0 ? o.remainingMs() + " ms" : null);
            add(lines, "note", o.note());
            return lines.isEmpty() ? List.of("no orders") : lines;
        }

        private static void add(List<String> lines, String name, String value) {
            if (value != null) {
                lines.add(name + " " + value.replaceAll("[^ -~]", "?"));
            }
        }
    }
}
