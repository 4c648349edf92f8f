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

/** A module that has been checked, metered and compiled. Any number of instances can be created from it. */
public final class HookModule {
    /** Maximum size of a module's binary form, in bytes. */
    public static final int MAX_BYTES = 4 << 20;

    /**
     * Resource limits of a hook.
     *
     * @param memoryPages the maximum number of memory pages of 64 KiB, 1 to 1,024
     * @param fuel the units of work that a call may take: instructions, counted at the entries of functions and loops
     * @param loadFuel the units of work that {@code on_load} may take
     * @param timeMs the wall-clock time that a call may take, which applies in addition to the fuel
     * @param compiled whether the code is compiled to Java bytecode; otherwise it is interpreted
     */
    public record Limits(int memoryPages, long fuel, long loadFuel, double timeMs, boolean compiled) {}

    final Limits limits;
    /** Index of the global that holds the fuel. */
    final int fuelGlobal;
    /** Initial size of the memory in pages of 64 KiB; 0: the module has no memory. */
    final int initialPages;
    /** Text that the module may read. */
    final String config;

    private final WasmModule module;
    /** Creates the machine of an instance; null if the code is interpreted. */
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
     * Checks, meters and compiles a module. Only its first instance shows whether it can be started.
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
            // The meter has accepted the module, but the parser, the compiler or the JVM's bytecode verifier rejects
            // it.
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

    /** Returns a builder of an instance; the caller still has to set the imports and the memory limits. */
    Instance.Builder builder() {
        Instance.Builder builder = Instance.builder(module);
        return machineFactory == null ? builder : builder.withMachineFactory(machineFactory);
    }
}
