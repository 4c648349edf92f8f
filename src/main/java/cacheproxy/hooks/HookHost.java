package cacheproxy.hooks;

import com.dylibso.chicory.runtime.HostFunction;
import com.dylibso.chicory.runtime.ImportValues;
import com.dylibso.chicory.runtime.Instance;
import com.dylibso.chicory.runtime.WasmFunctionHandle;
import com.dylibso.chicory.wasm.types.FunctionType;
import com.dylibso.chicory.wasm.types.ValType;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/** The host's side of one instance: the functions that the instance imports, the lines that it logs and its counter. */
final class HookHost {
    /** Maximum number of lines that one call can log; further lines are dropped. */
    static final int MAX_LOG_LINES = 8;

    private static final int MAX_LOG_BYTES = 400;
    private static final long[] NO_RESULT = {};

    private final LongSupplier clockMs;
    private final byte[] config;
    private List<String> logLines = new ArrayList<>();
    private long counter;

    /**
     * @param clockMs the clock that the module may read
     * @param config text that the module may read
     */
    HookHost(LongSupplier clockMs, String config) {
        this.clockMs = clockMs;
        this.config = config.getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the functions that a module may import. */
    ImportValues imports() {
        List<ValType> none = List.of();
        List<ValType> oneInt = List.of(ValType.I32);
        List<ValType> twoInts = List.of(ValType.I32, ValType.I32);
        List<ValType> oneLong = List.of(ValType.I64);
        return ImportValues.builder()
                .addFunction(
                        function(HookAbi.LOG_IMPORT, twoInts, none, this::log),
                        function(
                                HookAbi.NOW_MS_IMPORT,
                                none,
                                oneLong,
                                (caller, arguments) -> singleResult(clockMs.getAsLong())),
                        function(HookAbi.COUNT_IMPORT, none, oneLong, (caller, arguments) -> singleResult(counter++)),
                        function(
                                HookAbi.CONFIG_LENGTH_IMPORT,
                                none,
                                oneInt,
                                (caller, arguments) -> singleResult(config.length)),
                        function(HookAbi.CONFIG_READ_IMPORT, oneInt, none, this::readConfig))
                .build();
    }

    private static HostFunction function(
            String name, List<ValType> parameters, List<ValType> results, WasmFunctionHandle body) {
        return new HostFunction(HookAbi.HOST_MODULE, name, FunctionType.of(parameters, results), body);
    }

    private static long[] singleResult(long value) {
        return new long[] {value};
    }

    private long[] log(Instance caller, long[] arguments) {
        if (logLines.size() < MAX_LOG_LINES) {
            int start = (int) arguments[0];
            int length = (int) Math.min(MAX_LOG_BYTES, Integer.toUnsignedLong((int) arguments[1]));
            byte[] text = caller.memory().readBytes(start, length);
            logLines.add(HookOrders.sanitize(new String(text, StandardCharsets.UTF_8)));
        }
        return NO_RESULT;
    }

    private long[] readConfig(Instance caller, long[] arguments) {
        caller.memory().write((int) arguments[0], config);
        return NO_RESULT;
    }

    /** Begins a call and clears the logged lines. */
    void beginCall() {
        logLines = new ArrayList<>();
    }

    /** Returns the lines that the module has logged in this call, each sanitized to fit on one line. */
    List<String> logLines() {
        return logLines;
    }
}
