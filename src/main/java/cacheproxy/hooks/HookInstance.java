package cacheproxy.hooks;

import com.dylibso.chicory.runtime.ExportFunction;
import com.dylibso.chicory.runtime.Instance;
import com.dylibso.chicory.wasm.ChicoryException;
import com.dylibso.chicory.wasm.types.FunctionType;
import com.dylibso.chicory.wasm.types.MemoryLimits;
import com.dylibso.chicory.wasm.types.ValType;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * An instance of a module with its own memory, for one thread. A failed call leaves the instance in an undefined state;
 * it must not be called again.
 */
public final class HookInstance {
    private final HookModule module;
    private final HookHost host;
    private final Instance instance;
    private final ExportFunction allocate;
    private final ExportFunction onRequest;
    /** Null if the module does not export it. */
    private final ExportFunction onAnswer;

    /**
     * The result of a call.
     *
     * @param orders what the module orders for the request
     * @param logLines lines that the module logged, each sanitized to fit on one line
     * @param fuel the fuel that the call has consumed
     */
    public record Result(HookOrders orders, List<String> logLines, long fuel) {}

    /**
     * Instantiates the module and calls {@code on_load}.
     *
     * @param clockMs the clock that the module may read
     * @throws HookException if the module lacks a function that is called here, or a call fails
     */
    public HookInstance(HookModule module, LongSupplier clockMs) throws HookException {
        this.module = module;
        host = new HookHost(clockMs, module.config);
        try {
            if (module.initialPages == 0) {
                throw new HookException("it has no memory");
            }
            instance = module.builder()
                    .withImportValues(host.imports())
                    .withMemoryLimits(new MemoryLimits(module.initialPages, module.limits.memoryPages()))
                    .build();
            allocate = exportedFunction(HookAbi.ALLOCATE_EXPORT, "(i32)->(i32)");
            onRequest = exportedFunction(HookAbi.ON_REQUEST_EXPORT, "(i32,i32)->(i64)");
            onAnswer = exports(HookAbi.ON_ANSWER_EXPORT)
                    ? exportedFunction(HookAbi.ON_ANSWER_EXPORT, "(i32,i32)->()")
                    : null;
            checkVersion();
            callOnLoad();
        } catch (ChicoryException | StackOverflowError | OutOfMemoryError | AssertionError | LinkageError e) {
            throw new HookException("it can't be started: " + describe(e));
        } catch (RuntimeException e) {
            throw new HookException("it can't be started: " + HookOrders.sanitize(String.valueOf(e.getMessage())));
        }
        host.beginCall(); // the lines of on_load belong to no call
    }

    private void checkVersion() throws HookException {
        long version = exportedFunction(HookAbi.VERSION_EXPORT, "()->(i32)").apply()[0];
        if (version != HookAbi.VERSION) {
            throw new HookException(
                    "it uses ABI version " + version + "; only version " + HookAbi.VERSION + " is supported");
        }
    }

    private void callOnLoad() throws HookException {
        if (!exports(HookAbi.ON_LOAD_EXPORT)) {
            return;
        }
        setFuel(module.limits.loadFuel());
        long status = exportedFunction(HookAbi.ON_LOAD_EXPORT, "()->(i32)").apply()[0];
        if (status != 0) {
            List<String> lines = host.logLines();
            throw new HookException(
                    "on_load returned " + status + (lines.isEmpty() ? "" : ": " + lines.get(lines.size() - 1)));
        }
    }

    private boolean exports(String name) {
        try {
            return instance.exportType(name) != null;
        } catch (RuntimeException absent) {
            return false;
        }
    }

    private ExportFunction exportedFunction(String name, String signature) throws HookException {
        if (!exports(name)) {
            throw new HookException("it exports no function " + name + " " + signature);
        }
        FunctionType type = instance.exportType(name);
        String actual = "(" + typeNames(type.params()) + ")->(" + typeNames(type.returns()) + ")";
        if (!actual.equals(signature)) {
            throw new HookException("its " + name + " is " + actual + "; " + signature + " is required");
        }
        return instance.export(name);
    }

    private static String typeNames(List<ValType> types) {
        return String.join(",", types.stream().map(HookInstance::typeName).toList());
    }

    private static String typeName(ValType type) {
        if (type.equals(ValType.I32)) {
            return "i32";
        }
        return type.equals(ValType.I64) ? "i64" : "another";
    }

    /** Returns whether the module wants to be notified of answers. */
    public boolean wantsAnswers() {
        return onAnswer != null;
    }

    /**
     * Runs {@code on_answer}, which the module must have.
     *
     * @return the lines that it logged
     * @throws HookException if the call fails; this instance must not be used again in that case
     */
    public List<String> notifyAnswer(HookCall call, HookCall.Answer answer, long elapsedMs) throws HookException {
        host.beginCall();
        setFuel(module.limits.fuel());
        try {
            byte[] argument = call.encode(answer, elapsedMs);
            int address = copyToMemory(argument);
            onAnswer.apply(address, argument.length);
            return host.logLines();
        } catch (ChicoryException | StackOverflowError | OutOfMemoryError | AssertionError | LinkageError e) {
            throw new HookException(describe(e));
        } catch (RuntimeException e) {
            throw new HookException(HookOrders.sanitize(String.valueOf(e.getMessage())));
        }
    }

    /**
     * Runs {@code on_request}.
     *
     * @throws HookException if the call fails or its orders are malformed; this instance must not be used again in that
     *     case
     */
    public Result call(HookCall call) throws HookException {
        host.beginCall();
        setFuel(module.limits.fuel());
        try {
            byte[] argument = call.encode();
            int address = copyToMemory(argument);
            long addressAndLength = onRequest.apply(address, argument.length)[0];
            HookOrders orders = readOrders((int) (addressAndLength >>> Integer.SIZE), (int) addressAndLength);
            return new Result(orders, host.logLines(), module.limits.fuel() - remainingFuel());
        } catch (ChicoryException | StackOverflowError | OutOfMemoryError | AssertionError | LinkageError e) {
            throw new HookException(describe(e));
        } catch (IndexOutOfBoundsException e) {
            throw new HookException("it points out of its memory");
        } catch (RuntimeException e) {
            throw new HookException(HookOrders.sanitize(String.valueOf(e.getMessage())));
        }
    }

    private int copyToMemory(byte[] argument) {
        int address = (int) allocate.apply(argument.length)[0];
        instance.memory().write(address, argument);
        return address;
    }

    private HookOrders readOrders(int address, int length) throws HookException {
        if (length < 0 || length > HookOrders.MAX_BYTES) {
            throw new HookException(
                    "its orders have " + Integer.toUnsignedString(length) + " bytes; at most " + HookOrders.MAX_BYTES);
        }
        return length == 0
                ? HookOrders.NONE
                : HookOrdersDecoder.decode(instance.memory().readBytes(address, length));
    }

    private void setFuel(long fuel) {
        instance.global(module.fuelGlobal).setValue(fuel);
    }

    private long remainingFuel() {
        return instance.global(module.fuelGlobal).getValue();
    }

    private String describe(Throwable failure) {
        String message = String.valueOf(failure.getMessage());
        if (failure instanceof StackOverflowError || message.contains("stack exhausted")) {
            return "it calls itself too deep";
        }
        if (failure instanceof OutOfMemoryError) {
            return "there is no memory left for it";
        }
        if (instance != null && remainingFuel() < 0) {
            return "it has used up its fuel, " + module.limits.fuel();
        }
        if (Thread.interrupted() || failure.getClass().getSimpleName().contains("Interrupted")) {
            return "it took longer than " + module.limits.timeMs() + " ms";
        }
        return "it trapped: " + HookOrders.sanitize(message);
    }

    /** Returns the lines that the module logged in the failed call. */
    public List<String> lastLogLines() {
        return host.logLines();
    }
}
