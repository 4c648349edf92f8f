package cacheproxy.simulator;

import cacheproxy.policy.PolicyActions;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The reply to one batch: the actions of instances become records of one size, little-endian, and what varies in size
 * goes to the tail behind them.
 */
final class ReplyEncoder implements PolicyActions {
    private static final int SEND_ATTEMPT = 10;
    private static final int REJECT = 20;
    private static final int FAIL = 30;
    private static final int CANCEL_ATTEMPT = 40;
    private static final int SET_TIMER = 50;
    private static final int PROBE_SERVER = 60;
    private static final int CLOSE_IDLE_CONNECTIONS = 70;
    private static final int SEND_TO_PEER = 80;
    private static final int LOG = 90;
    private static final int FAULT = 100;
    private static final int WATCH_ENDPOINT_LIST = 110;
    private static final int FETCH_ENDPOINT_LIST = 120;

    private static final int LENGTH_OFFSET = 0;
    private static final int RECORD_COUNT_OFFSET = 4;
    private static final int BATCH_NUMBER_OFFSET = 8;
    private static final int HEADER_BYTES = 12;
    private static final int RECORD_BYTES = 24;

    private ByteBuffer records = newBuffer(1 << 16);
    private ByteBuffer tail = newBuffer(1 << 12);
    private int recordCount;
    private int instance;

    private static ByteBuffer newBuffer(int bytes) {
        return ByteBuffer.allocate(bytes).order(ByteOrder.LITTLE_ENDIAN);
    }

    /** Returns a buffer with the same content and space for so many bytes more. */
    private static ByteBuffer ensureRemaining(ByteBuffer buffer, int bytes) {
        if (buffer.remaining() >= bytes) {
            return buffer;
        }
        buffer.flip();
        return newBuffer(Math.max(2 * buffer.capacity(), buffer.limit() + bytes))
                .put(buffer);
    }

    /** Begins a reply, which has no records yet. */
    void begin() {
        records.clear();
        tail.clear();
        records.position(HEADER_BYTES);
        recordCount = 0;
    }

    /** Makes the actions from now on those of an instance. */
    void actAs(int actingInstance) {
        instance = actingInstance;
    }

    /** Writes the reply to a batch. */
    @SuppressWarnings("ByteBufferBackingArray") // both buffers are allocated on the heap, here, with no offset
    void write(OutputStream out, int batchNumber) throws IOException {
        records.putInt(LENGTH_OFFSET, records.position() + tail.position());
        records.putInt(RECORD_COUNT_OFFSET, recordCount);
        records.putInt(BATCH_NUMBER_OFFSET, batchNumber);
        out.write(records.array(), 0, records.position());
        out.write(tail.array(), 0, tail.position());
        out.flush();
    }

    @SuppressWarnings("ByteBufferBackingArray") // both buffers are allocated on the heap, here, with no offset
    private ByteBuffer beginRecord(int code) {
        records = ensureRemaining(records, RECORD_BYTES);
        int start = records.position();
        Arrays.fill(records.array(), start, start + RECORD_BYTES, (byte) 0);
        records.put((byte) code).putShort((short) instance);
        recordCount++;
        return records;
    }

    private void endRecord() {
        records.position(HEADER_BYTES + RECORD_BYTES * recordCount);
    }

    /** Ends a record whose last field is these bytes: their offset and length, and the bytes in the tail. */
    private void endRecord(byte[] tailBytes) {
        records.putInt(tail.position()).putInt(tailBytes.length);
        tail = ensureRemaining(tail, tailBytes.length).put(tailBytes);
        endRecord();
    }

    @Override
    public void sendAttempt(int request, int server, double timeoutMs) {
        beginRecord(SEND_ATTEMPT).putInt(request).putInt(server).putDouble(timeoutMs);
        endRecord();
    }

    @Override
    public void reject(int request, double retryAfterMs) {
        beginRecord(REJECT).putInt(request).putDouble(retryAfterMs);
        endRecord();
    }

    @Override
    public void fail(int request) {
        beginRecord(FAIL).putInt(request);
        endRecord();
    }

    @Override
    public void cancelAttempt(int request, int attempt) {
        beginRecord(CANCEL_ATTEMPT).putInt(request).put((byte) attempt);
        endRecord();
    }

    @Override
    public void setTimer(double afterMs, int token) {
        beginRecord(SET_TIMER).putDouble(afterMs).putInt(token);
        endRecord();
    }

    @Override
    public void probeServer(int server) {
        beginRecord(PROBE_SERVER).putInt(server);
        endRecord();
    }

    @Override
    public void closeIdleConnections(int server) {
        beginRecord(CLOSE_IDLE_CONNECTIONS).putInt(server);
        endRecord();
    }

    @Override
    public void sendToPeer(int peer, byte[] message) {
        beginRecord(SEND_TO_PEER).putInt(peer);
        endRecord(message);
    }

    @Override
    public void log(String line) {
        beginRecord(LOG);
        endRecord(line.getBytes(StandardCharsets.UTF_8));
    }

    /** Reports that an instance's policy has failed. */
    void fault(String cause) {
        beginRecord(FAULT);
        endRecord(cause.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void watchEndpointList(boolean enabled) {
        beginRecord(WATCH_ENDPOINT_LIST).put((byte) (enabled ? 1 : 0));
        endRecord();
    }

    @Override
    public void fetchEndpointList() {
        beginRecord(FETCH_ENDPOINT_LIST);
        endRecord();
    }
}
