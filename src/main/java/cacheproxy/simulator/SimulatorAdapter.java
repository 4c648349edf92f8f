package cacheproxy.simulator;

import cacheproxy.policy.PolicyApi;
import cacheproxy.policy.RoutingPolicy;
import java.io.BufferedInputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** Reads batches of events, hands each to the policy of its instance and writes the replies; decides nothing. */
public final class SimulatorAdapter {
    private static final int START_INSTANCE = 10;
    private static final int STOP_INSTANCE = 100;
    private static final int MAX_INSTANCES = 1 << 16;
    private static final int INPUT_BUFFER_BYTES = 1 << 16;

    private final EventBatchReader reader;
    private final EventDecoder decoder;
    private final OutputStream output;
    /** The policies of the running instances, by the instances' numbers. */
    private final PolicyApi[] instances = new PolicyApi[MAX_INSTANCES];

    private final ReplyEncoder reply = new ReplyEncoder();

    SimulatorAdapter(InputStream input, OutputStream output) {
        reader = new EventBatchReader(input);
        decoder = new EventDecoder(reader);
        this.output = output;
    }

    /** Speaks on standard input and output until the input ends; returns the process's exit code. */
    public static int main() {
        try {
            InputStream input = new BufferedInputStream(System.in, INPUT_BUFFER_BYTES);
            new SimulatorAdapter(input, new FileOutputStream(FileDescriptor.out)).run();
            return 0;
        } catch (SimulatorProtocolException | IOException e) {
            System.err.println(e.getMessage());
            return 1;
        }
    }

    /**
     * Answers batches until the input ends.
     *
     * @throws SimulatorProtocolException if the input is not of the protocol
     */
    void run() throws IOException {
        while (reader.next()) {
            reply.begin();
            for (int record = 0; record < reader.recordCount(); record++) {
                dispatch(record);
            }
            reply.write(output, reader.batchNumber());
        }
    }

    private void dispatch(int record) {
        reader.moveToRecord(record);
        int code = reader.readU8();
        int instance = reader.readU16();
        reply.actAs(instance);
        try {
            dispatch(code, instance);
        } catch (SimulatorProtocolException e) {
            throw new SimulatorProtocolException(
                    "batch " + reader.batchNumber() + ", record " + record + ": " + e.getMessage());
        } catch (RuntimeException e) { // a fault of a policy ends neither the others nor the run
            StackTraceElement[] trace = e.getStackTrace();
            reply.fault("instance " + instance + ": " + e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    private void dispatch(int code, int instance) {
        if (code == START_INSTANCE) {
            instances[instance] = startPolicy();
            return;
        }
        PolicyApi policy = instances[instance];
        if (policy == null) {
            throw new SimulatorProtocolException("unknown instance " + instance);
        }
        if (code == STOP_INSTANCE) {
            instances[instance] = null;
        } else {
            decoder.dispatch(code, policy, reply);
        }
    }

    private PolicyApi startPolicy() {
        long seed = reader.readLong();
        String settings = new String(reader.readTailBytes(), StandardCharsets.UTF_8);
        return new RoutingPolicy(SettingsParser.ofLines(settings).settings(), seed);
    }
}
