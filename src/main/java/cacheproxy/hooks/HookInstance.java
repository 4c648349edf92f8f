package cacheproxy.hooks;

import com.dylibso.chicory.runtime.ExportFunction;
import com.dylibso.chicory.runtime.HostFunction;
import com.dylibso.chicory.runtime.ImportValues;
import com.dylibso.chicory.runtime.Instance;
import com.dylibso.chicory.wasm.ChicoryException;
import com.dylibso.chicory.wasm.types.FunctionType;
import com.dylibso.chicory.wasm.types.MemoryLimits;
import com.dylibso.chicory.wasm.types.ValType;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * A module with a memory of its own, for one thread. A call that fails leaves it in no known state: it must not be
 * called again.
 */
public final class HookInstance {
    /** Of one call; the rest is dropped. */
    static final int MAX_LOG_LINES = 8;

    private final HookModule module;
    private final LongSupplier clockMs;
    private final Instance instance;
    private final ExportFunction alloc;
    private final ExportFunction onRequest;
    /** Null where the module has none. */
    private final ExportFunction onAnswer;

    private List<String> log = new ArrayList<>();
    private long counter;

    /**
     * What a call came to.
     *
     * @param log lines that it wrote, each fit for one line
     */
    public record Result(HookOrders orders, List<String> log, long fuel) {}

    /** Instantiates and calls {@code on_load}; {@code clockMs} is what the module may ask the time of. */
    public HookInstance(HookModule module, LongSupplier clockMs) throws HookException {
        this.module = module;
        this.clockMs = clockMs;
        try {
            if (module.pages == 0) {
                throw new HookException("it has no memory");
            }
            instance = module.builder()
                    .withImportValues(imports())
                    .withMemoryLimits(new MemoryLimits(module.pages, module.limits.memoryPages()))
                    .build();
            alloc = function("alloc", "(i32)->(i32)");
            onRequest = function("on_request", "(i32,i32)->(i64)");
            onAnswer = exports("on_answer") ? function("on_answer", "(i32,i32)->()") : null;
            long version = function("abi_version", "()->(i32)").apply()[0];
            if (version != HookCall.ABI) {
                throw new HookException("it is of ABI version " + version + "; " + HookCall.ABI + " is spoken here");
            }
            if (exports("on_load")) {
                instance.global(module.fuelGlobal).setValue(module.limits.loadFuel());
                long no = function("on_load", "()->(i32)").apply()[0];
                if (no != 0) {
                    throw new HookException(
                            "on_load returned " + no + (log.isEmpty() ? "" : ": " + log.get(log.size() - 1)));
                }
            }
        } catch (ChicoryException | StackOverflowError | OutOfMemoryError | AssertionError | LinkageError e) {
            throw new HookException("it can't be started: " + why(e));
        } catch (RuntimeException e) {
            throw new HookException("it can't be started: " + HookOrders.clean(String.valueOf(e.getMessage())));
        }
        log = new ArrayList<>();
    }

    private boolean exports(String name) {
        try {
            return instance.exportType(name) != null;
        } catch (RuntimeException absent) {
            return false;
        }
    }

    private ExportFunction function(String name, String type) throws HookException {
        if (!exports(name)) {
            throw new HookException("it exports no function " + name + " " + type);
        }
        FunctionType t = instance.exportType(name);
        String have = "(" + types(t.params()) + ")->(" + types(t.returns()) + ")";
        if (!have.equals(type)) {
            throw new HookException("its " + name + " is " + have + "; " + type + " is wanted");
        }
        return instance.export(name);
    }

    private static String types(List<ValType> list) {
        return String.join(
                ",",
                list.stream()
                        .map(t -> t.equals(ValType.I32) ? "i32" : t.equals(ValType.I64) ? "i64" : "another")
                        .toList());
    }

    private ImportValues imports() {
        List<ValType> none = List.of();
        List<ValType> one = List.of(ValType.I32);
        return ImportValues.builder()
                .addFunction(
                        new HostFunction(
                                HookModule.HOST,
                                "log",
                                FunctionType.of(List.of(ValType.I32, ValType.I32), none),
                                (i, args) -> {
                                    if (log.size() < MAX_LOG_LINES) {
                                        int length = (int) Math.min(400, args[1] & 0xFFFFFFFFL);
                                        log.add(HookOrders.clean(new String(
                                                i.memory().readBytes((int) args[0], length), StandardCharsets.UTF_8)));
                                    }
                                    return new long[0];
                                }),
                        new HostFunction(
                                HookModule.HOST, "now_ms", FunctionType.of(none, List.of(ValType.I64)), (i, args) ->
                                        new long[] {clockMs.getAsLong()}),
                        new HostFunction(
                                HookModule.HOST, "count", FunctionType.of(none, List.of(ValType.I64)), (i, args) ->
                                        new long[] {counter++}),
                        new HostFunction(HookModule.HOST, "config_length", FunctionType.of(none, one), (i, args) ->
                                new long[] {module.configBytes().length}),
                        new HostFunction(HookModule.HOST, "config_read", FunctionType.of(one, none), (i, args) -> {
                            i.memory().write((int) args[0], module.configBytes());
                            return new long[0];
                        }))
                .build();
    }

    /** Whether it wants to be told of answers. */
    public boolean wantsAnswers() {
        return onAnswer != null;
    }

    /** Runs {@code on_answer}; its lines of the log. After an exception this instance is not to be used again. */
    public List<String> answered(HookCall call, HookCall.Answer answer, long elapsedMs) throws HookException {
        log = new ArrayList<>();
        instance.global(module.fuelGlobal).setValue(module.limits.fuel());
        try {
            byte[] bytes = call.bytes(answer, elapsedMs);
            int at = (int) alloc.apply(bytes.length)[0];
            instance.memory().write(at, bytes);
            onAnswer.apply(at, bytes.length);
            return log;
        } catch (ChicoryException | StackOverflowError | OutOfMemoryError | AssertionError | LinkageError e) {
            throw new HookException(why(e));
        } catch (RuntimeException e) {
            throw new HookException(HookOrders.clean(String.valueOf(e.getMessage())));
        }
    }

    /** Runs {@code on_request}. After an exception this instance is not to be used again. */
    public Result call(HookCall call) throws HookException {
        log = new ArrayList<>();
        instance.global(module.fuelGlobal).setValue(module.limits.fuel());
        try {
            byte[] request = call.bytes();
            int at = (int) alloc.apply(request.length)[0];
            instance.memory().write(at, request);
            long packed = onRequest.apply(at, request.length)[0];
            int length = (int) packed;
            if (length < 0 || length > HookOrders.MAX_BYTES) {
                throw new HookException("its orders have " + Integer.toUnsignedString(length) + " bytes; at most "
                        + HookOrders.MAX_BYTES);
            }
            HookOrders orders = length == 0
                    ? HookOrders.NONE
                    : HookOrders.read(instance.memory().readBytes((int) (packed >>> 32), length));
            return new Result(
                    orders,
                    log,
                    module.limits.fuel() - instance.global(module.fuelGlobal).getValue());
        } catch (ChicoryException | StackOverflowError | OutOfMemoryError | AssertionError | LinkageError e) {
            throw new HookException(why(e));
        } catch (IndexOutOfBoundsException e) {
            throw new HookException("it points out of its memory");
        } catch (RuntimeException e) {
            throw new HookException(HookOrders.clean(String.valueOf(e.getMessage())));
        }
    }

    private String why(Throwable e) {
        if (e instanceof StackOverflowError || String.valueOf(e.getMessage()).contains("stack exhausted")) {
            return "it calls itself too deep";
        }
        if (e instanceof OutOfMemoryError) {
            return "there is no memory left for it";
        }
        if (instance != null && instance.global(module.fuelGlobal).getValue() < 0) {
            return "it has used up its fuel, " + module.limits.fuel();
        }
        if (Thread.interrupted() || e.getClass().getSimpleName().contains("Interrupted")) {
            return "it took longer than " + module.limits.timeMs() + " ms";
        }
        return "it trapped: " + HookOrders.clean(String.valueOf(e.getMessage()));
    }

    /** Lines that it wrote in the call that failed. */
    public List<String> lastLog() {
        return log;
    }
}
