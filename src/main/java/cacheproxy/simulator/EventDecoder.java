package cacheproxy.simulator;

import cacheproxy.policy.AttemptOutcome;
import cacheproxy.policy.AttemptResult;
import cacheproxy.policy.Endpoint;
import cacheproxy.policy.EndpointListKind;
import cacheproxy.policy.EndpointState;
import cacheproxy.policy.PolicyActions;
import cacheproxy.policy.PolicyApi;
import cacheproxy.policy.RoutingRequest;
import java.util.ArrayList;
import java.util.List;

/** Decodes the events of running instances, field by field as they stand in a record, and hands them to a policy. */
final class EventDecoder {
    private static final int ENDPOINT_LIST = 20;
    private static final int REQUEST = 30;
    private static final int FIRST_BYTE = 40;
    private static final int ATTEMPT_END = 50;
    private static final int CLIENT_GONE = 60;
    private static final int TIMER = 70;
    private static final int PROBE_RESULT = 80;
    private static final int PEER_MESSAGE = 90;

    private static final int FLAG_COST_HINT = 1;
    private static final int FLAG_CLIENT_RETRY = 2;
    private static final int FLAG_WRITE = 4;

    private static final int ENDPOINT_BYTES = 22;
    private static final int MAX_LOAD_VALUES = 4;
    /** By their codes. */
    private static final EndpointListKind[] LIST_KINDS = {
        EndpointListKind.FULL, EndpointListKind.CHANGES, EndpointListKind.CACHED, EndpointListKind.FAILED
    };

    private final EventBatchReader reader;

    EventDecoder(EventBatchReader reader) {
        this.reader = reader;
    }

    /**
     * Hands the event whose code and instance were read to the policy of that instance.
     *
     * @throws SimulatorProtocolException if it is not an event of the protocol
     */
    void dispatch(int code, PolicyApi policy, PolicyActions actions) {
        double nowMs = reader.nowMs();
        switch (code) {
            case ENDPOINT_LIST -> dispatchEndpointList(policy, actions);
            case REQUEST -> policy.onRequest(nowMs, readRequest(), actions);
            case FIRST_BYTE -> policy.onFirstByte(nowMs, reader.readInt(), reader.readU8(), reader.readInt(), actions);
            case ATTEMPT_END -> policy.onAttemptEnd(nowMs, readAttemptResult(), actions);
            case CLIENT_GONE -> policy.onClientGone(nowMs, reader.readInt(), actions);
            case TIMER -> policy.onTimer(nowMs, reader.readInt(), actions);
            case PROBE_RESULT ->
                policy.onProbeResult(
                        nowMs, reader.readInt(), readOutcome(), reader.readDouble(), readLoadReport(), actions);
            case PEER_MESSAGE -> policy.onPeerMessage(nowMs, reader.readInt(), reader.readTailBytes(), actions);
            default -> throw new SimulatorProtocolException("unknown event code " + code);
        }
    }

    private void dispatchEndpointList(PolicyApi policy, PolicyActions actions) {
        reader.skip(Long.BYTES); // the list's version
        int kind = reader.readU8();
        if (kind >= LIST_KINDS.length) {
            throw new SimulatorProtocolException("unknown list form " + kind);
        }
        policy.onEndpointList(reader.nowMs(), LIST_KINDS[kind], readEndpoints(), actions);
    }

    private List<Endpoint> readEndpoints() {
        int count = reader.moveToTail(ENDPOINT_BYTES);
        List<Endpoint> endpoints = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            endpoints.add(readEndpoint());
        }
        return endpoints;
    }

    @SuppressWarnings("EnumOrdinal") // the order of declaration is the code on the wire, pinned by golden tests
    private Endpoint readEndpoint() {
        int id = reader.readInt();
        int zone = reader.readU16();
        int kind = reader.readU8();
        int cell = reader.readU16();
        int state = reader.readU8();
        if (state >= EndpointState.values().length) {
            throw new SimulatorProtocolException("unknown phase " + state);
        }
        float weight = reader.readFloat();
        double startedMs = reader.readDouble();
        return new Endpoint(id, zone, kind, cell, EndpointState.values()[state], weight, startedMs);
    }

    private RoutingRequest readRequest() {
        int id = reader.readInt();
        int flags = reader.readU16();
        double deadlineMs = reader.readDouble();
        double costHintMs = reader.readDouble();
        int tenant = reader.readInt();
        float valueSizeHint = reader.readFloat();
        long key = reader.readLong();
        int serviceClass = reader.readU16();
        return new RoutingRequest(
                id,
                serviceClass,
                tenant,
                key,
                deadlineMs,
                (flags & FLAG_COST_HINT) != 0 ? costHintMs : Double.NaN,
                valueSizeHint,
                (flags & FLAG_WRITE) != 0,
                (flags & FLAG_CLIENT_RETRY) != 0);
    }

    private AttemptResult readAttemptResult() {
        int requestId = reader.readInt();
        int attempt = reader.readU8();
        int serverId = reader.readInt();
        AttemptOutcome outcome = readOutcome();
        double elapsedMs = reader.readDouble();
        boolean answered = reader.readU8() != 0;
        int cacheStatus = reader.readInt();
        return new AttemptResult(
                requestId, attempt, serverId, outcome, elapsedMs, answered, cacheStatus, readLoadReport());
    }

    /** Reads a number of values and so many values; null if there are none. */
    private float[] readLoadReport() {
        int count = reader.readU8();
        if (count > MAX_LOAD_VALUES) {
            throw new SimulatorProtocolException("load report of " + count + " values");
        }
        if (count == 0) {
            return null;
        }
        float[] values = new float[count];
        for (int i = 0; i < count; i++) {
            values[i] = reader.readFloat();
        }
        return values;
    }

    private AttemptOutcome readOutcome() {
        int status = reader.readU16();
        return switch (status) {
            case 100 -> AttemptOutcome.OK;
            case 101 -> AttemptOutcome.MISS;
            case 301 -> AttemptOutcome.ERROR;
            case 302 -> AttemptOutcome.FULL;
            case 303 -> AttemptOutcome.TIMEOUT;
            case 304 -> AttemptOutcome.CONNECT_FAILED;
            case 305 -> AttemptOutcome.RESET;
            case 306 -> AttemptOutcome.CANCELLED;
            case 307 -> AttemptOutcome.NOT_SENT;
            default -> throw new SimulatorProtocolException("unknown status " + status);
        };
    }
}
