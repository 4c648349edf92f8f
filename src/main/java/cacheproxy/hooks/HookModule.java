package cacheproxy.hooks;

import com.dylibso.chicory.compiler.MachineFactoryCompiler;
import com.dylibso.chicory.runtime.Instance;
import com.dylibso.chicory.runtime.Machine;
import com.dylibso.chicory.wasm.Parser;
import com.dylibso.chicory.wasm.WasmModule;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.function.Function;

/** A module that has been checked, metered and compiled; any number of instances come of it. */
public final class HookModule {
    /** Size of a module's binary form, at most. */
    public static final int MAX_BYTES = 4 << 20;

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
    /** Index of the global that holds the fuel. */
    final int fuelGlobal;
    /** Pages of 64 KiB that its memory has at the start; 0: it has no memory. */
    final int initialPages;
    /** Text that the module may read. */
    final String config;

    private final WasmModule module;
    /** Makes the machine of an instance; null: it is interpreted. */
    private final Function<Instance, Machine> machineFactory;

    private HookModule(Limits limits, WasmMeter.Metered metered, WasmModule module, String config) {
        this.limits = limits;
        this.module = module;
        this.config = config;
        fuelGlobal = metered.fuelGlobal();
        initialPages = metered.initialPages();
        machineFactory = limits.compiled() ? MachineFactoryCompiler.compile(module) : null;
    }

    /**
     * Checks, meters and compiles a module; whether it can be started shows with its first instance.
     *
     * @param bytes the module's binary form
     * @param config text that the module may read
     * @throws HookException if the module is not valid, or not within the limits
     */
    public static HookModule load(byte[] bytes, Limits limits, String config) throws HookException {
        WasmMeter.Metered metered =
                WasmMeter.meter(bytes, limits.memoryPages(), HookAbi.OFFERED_IMPORTS, limits.loadFuel());
        try {
            WasmModule module = Parser.parse(metered.module());
            return new HookModule(limits, metered, module, config);
        } catch (RuntimeException | StackOverflowError | OutOfMemoryError | AssertionError | LinkageError e) {
            // What the meter has let pass and the parser, the compiler or the Java machine's verifier does not.
            throw new HookException("the module is not valid: " + HookOrders.sanitize(String.valueOf(e.getMessage())));
        }
    }

    /** Returns the SHA-256 digest of a module's bytes, in lower-case hexadecimal digits. */
    public static String sha256Hex(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // every Java platform has to offer SHA-256
        }
    }

    /** Returns a builder of an instance, which still lacks its imports and the limits of its memory. */
    Instance.Builder builder() {
        Instance.Builder builder = Instance.builder(module);
        return machineFactory == null ? builder : builder.withMachineFactory(machineFactory);
    }
}
