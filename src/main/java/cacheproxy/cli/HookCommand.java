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

/** {@code hook}: runs hook modules outside of the daemon. */
@Command(
        name = "hook",
        mixinStandardHelpOptions = true,
        description = "Runs hook modules outside of the daemon.",
        subcommands = HookCommand.Test.class)
final class HookCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "name a command");
    }

    /** {@code hook test}: calls a module once and prints the orders that it returns. */
    @Command(
            name = "test",
            mixinStandardHelpOptions = true,
            description = "Calls a module and prints its orders, fuel and time. Exit code 0: the call succeeded, "
                    + "with orders or without; 1: the call failed; 2: the module does not load.")
    static final class Test implements Callable<Integer> {
        private static final int TIMED_CALLS = 2000;
        private static final long LOAD_FUEL = 10_000_000;
        private static final double CALL_TIMEOUT_MS = 1000;
        private static final double NANOS_PER_MICRO = 1e3;

        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "MODULE", description = "The .wasm file.")
        private Path module;

        @Option(names = "--request", paramLabel = "KEY", required = true, description = "The request's key.")
        private String key;

        @Option(names = "--class", paramLabel = "NAME", defaultValue = "page", description = "The request's class.")
        private String serviceClass;

        @Option(names = "--tenant", paramLabel = "NAME", defaultValue = "", description = "The request's tenant.")
        private String tenant;

        @Option(names = "--write", description = "The request is a write.")
        private boolean write;

        @Option(
                names = "--remaining-ms",
                paramLabel = "MS",
                defaultValue = "1000",
                description = "Time left until the request's deadline.")
        private long remainingMs;

        @Option(names = "--config", paramLabel = "TEXT", defaultValue = "", description = "The hook's configuration.")
        private String config;

        @Option(names = "--fuel", paramLabel = "N", defaultValue = "200000", description = "Fuel for the call.")
        private long fuel;

        @Option(
                names = "--memory-pages",
                paramLabel = "N",
                defaultValue = "16",
                description = "Maximum memory in pages of 64 KiB.")
        private int memoryPages;

        @Option(names = "--interpret", description = "Interprets the module instead of compiling it.")
        private boolean interpret;

        @Override
        public Integer call() {
            PrintWriter err = spec.commandLine().getErr();
            HookInstance instance;
            try {
                instance = load();
            } catch (IOException e) {
                err.println(module + " can't be read");
                return ExitCode.UNUSABLE;
            } catch (HookException e) {
                err.println(module + " does not load: " + e.getMessage());
                return ExitCode.UNUSABLE;
            }
            try {
                callAndPrint(instance);
                return ExitCode.OK;
            } catch (HookException e) {
                printLog(instance.lastLogLines());
                err.println("the call failed: " + e.getMessage());
                return ExitCode.FAILED;
            }
        }

        private HookInstance load() throws IOException, HookException {
            byte[] bytes = Files.readAllBytes(module);
            spec.commandLine().getOut().println("sha256 " + HookModule.sha256Hex(bytes));
            HookModule.Limits limits = new HookModule.Limits(memoryPages, fuel, LOAD_FUEL, CALL_TIMEOUT_MS, !interpret);
            return new HookInstance(HookModule.load(bytes, limits, config), System::currentTimeMillis);
        }

        /** Prints the result of the first call, then the mean time of further ones. */
        private void callAndPrint(HookInstance instance) throws HookException {
            PrintWriter out = spec.commandLine().getOut();
            HookCall call = new HookCall(key, serviceClass, tenant, write, false, remainingMs);
            HookInstance.Result result = instance.call(call);
            printLog(result.logLines());
            describe(result.orders()).forEach(out::println);
            long startNanos = System.nanoTime();
            for (int i = 0; i < TIMED_CALLS; i++) {
                instance.call(call);
            }
            double microsPerCall = (System.nanoTime() - startNanos) / NANOS_PER_MICRO / TIMED_CALLS;
            out.printf("fuel %d of %d, %.1f us a call%n", result.fuel(), fuel, microsPerCall);
        }

        private void printLog(List<String> messages) {
            messages.forEach(message -> spec.commandLine().getOut().println("log " + message));
        }

        private static List<String> describe(HookOrders orders) {
            List<String> lines = new ArrayList<>();
            addLine(lines, "key", orders.key());
            addLine(lines, "class", orders.serviceClass());
            addLine(lines, "tenant", orders.tenant());
            addLine(lines, "route", orders.route());
            addLine(lines, "refuse", orders.refuseMs() > 0 ? orders.refuseMs() + " ms" : null);
            addLine(lines, "remaining", orders.remainingMs() > 0 ? orders.remainingMs() + " ms" : null);
            addLine(lines, "note", orders.note());
            return lines.isEmpty() ? List.of("no orders") : lines;
        }

        /** Adds a line, with unprintable characters replaced, unless the value is null. */
        private static void addLine(List<String> lines, String name, String value) {
            if (value != null) {
                lines.add(name + " " + value.replaceAll("[^ -~]", "?"));
            }
        }
    }
}
