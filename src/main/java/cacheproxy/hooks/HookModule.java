package cacheproxy.hooks;

import com.dylibso.chicory.compiler.MachineFactoryCompiler;
import com.dylibso.chicory.runtime.Instance;
import com.dylibso.chicory.runtime.Machine;
import com.dylibso.chicory.wasm.Parser;
import com.dylibso.chicory.wasm.WasmModule;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.function.Function;

/** A module that has been checked, metered and compiled; any number of instances come of it. */
public final class HookModule {
    static final String HOST = "coralbay";
    /** What is offered, with its types. */
    static final Map<String, String> OFFERED = Map.of(
            HOST + ".log",
            "(i32,i32)->()",
            HOST + ".now_ms",
            "()->(i64)",
            HOST + ".count",
            "()->(i64)",
            HOST + ".config_length",
            "()->(i32)",
            HOST + ".config_read",
            "(i32)->()");

    /**
     * Bounds of a hook.
     *
     * @param memoryPages of 64 KiB, 1 to 1,024
     * @param fuel units of work for a call: instructions, counted at the entries of functions and loops
     * @param loadFuel the same for {@code on_load}
     * @param timeMs what a call may take by the clock, besides
     * @param compiled whether its code is compiled to the Java machine's, or interpreted
     */
    public record Limits(int memoryPages, long fuel, long loadFuel, double timeMs, boolean compiled) {}

    final Limits limits;
    final int fuelGlobal;
    final int pages;
    final String config;
    private final WasmModule module;
    private final Function<Instance, Machine> machines;

    private HookModule(Limits limits, WasmMeter.Metered metered, WasmModule module, String config) {
        this.limits = limits;
        this.module = module;
        this.config = config;
        fuelGlobal = metered.fuelGlobal();
        pages = metered.pages();
        machines = limits.compiled() ? MachineFactoryCompiler.compile(module) : null;
    }

    /** Checks, meters and compiles; instances must then be tried, too. */
    public static HookModule load(byte[] bytes, Limits limits, String config) throws HookException {
        WasmMeter.Metered metered = WasmMeter.meter(bytes, limits.memoryPages(), OFFERED, limits.loadFuel());
        try {
            WasmModule module = Parser.parse(metered.module());
            return new HookModule(limits, metered, module, config);
        } catch (RuntimeException | StackOverflowError | OutOfMemoryError | AssertionError | LinkageError e) {
            // What the meter has let pass and the parser, the compiler or the Java machine's verifier does not.
            throw new HookException("the module is not valid: " + HookOrders.clean(String.valueOf(e.getMessage())));
        }
    }

    /** SHA-256, in lower-case hexadecimal digits. */
    public static String digest(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // every Java has it
        }
    }

    Instance.Builder builder() {
        Instance.Builder b = Instance.builder(module);
        return machines == null ? b : b.withMachineFactory(machines);
    }

    byte[] configBytes() {
        return config.getBytes(StandardCharsets.UTF_8);
    }
}
