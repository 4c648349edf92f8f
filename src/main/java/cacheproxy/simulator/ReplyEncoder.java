package cacheproxy.simulator;

import cacheproxy.policy.PolicyActions;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** The reply to one batch: an instance's actions become the wire's records. */
final class ReplyEncoder implements PolicyActions {
    private static final int HEADER = 12;
    private static final int RECORD = 24;

    private ByteBuffer records = buffer(1 << 16);
    private ByteBuffer tail = buffer(1 << 12);
    private int count;
    private int instance;

    private static ByteBuffer buffer(int size) {
        return ByteBuffer.allocate(size).order(ByteOrder.LITTLE_ENDIAN);
    }

    private static ByteBuffer room(ByteBuffer b, int need) {
        if (b.remaining() >= need) {
            return b;
        }
        b.flip();
        return buffer(Math.max(2 * b.capacity(), b.limit() + need)).put(b);
    }

    void begin() {
        records.clear();
        tail.clear();
        records.position(HEADER);
        count = 0;
    }

    void actAs(int i) {
        instance = i;
    }

    @SuppressWarnings("ByteBufferBackingArray") // both buffers are allocated on the heap, here, with no offset
    void write(OutputStream out, int batch) throws IOException {
        records.putInt(0, records.position() + tail.position());
        records.putInt(4, count);
        records.putInt(8, batch);
        out.write(records.array(), 0, records.position());
        out.write(tail.array(), 0, tail.position());
        out.flush();
    }

    @SuppressWarnings("ByteBufferBackingArray") // both buffers are allocated on the heap, here, with no offset
    private ByteBuffer record(int code) {
        records = room(records, RECORD);
        int start = records.position();
        Arrays.fill(records.array(), start, start + RECORD, (byte) 0);
        records.put((byte) code).putShort((short) instance);
        count++;
        return records;
    }

    private void end() {
        records.position(HEADER + RECORD * count);
    }

    private void bytes(byte[] data) {
        records.putInt(tail.position()).putInt(data.length);
        tail = room(tail, data.length).put(data);
        end();
    }

    @Override
    public void sendAttempt(int request, int server, double timeoutMs) {
        record(10).putInt(request).putInt(server).putDouble(timeoutMs);
        end();
    }

    @Override
    public void reject(int request, double retryAfterMs) {
        record(20).putInt(request).putDouble(retryAfterMs);
        end();
    }

    @Override
    public void fail(int request) {
        record(30).putInt(request);
        end();
    }

    @Override
    public void cancelAttempt(int request, int attempt) {
        record(40).putInt(request).put((byte) attempt);
        end();
    }

    @Override
    public void setTimer(double afterMs, int token) {
        record(50).putDouble(afterMs).putInt(token);
        end();
    }

    @Override
    public void probeServer(int server) {
        record(60).putInt(server);
        end();
    }

    @Override
    public void closeIdleConnections(int server) {
        record(70).putInt(server);
        end();
    }

    @Override
    public void sendToPeer(int peer, byte[] message) {
        record(80).putInt(peer);
        bytes(message);
    }

    @Override
    public void log(String line) {
        record(90);
        bytes(line.getBytes(StandardCharsets.UTF_8));
    }

    void fault(String cause) {
        record(100);
        bytes(cause.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void watchEndpointList(boolean on) {
        record(110).put((byte) (on ? 1 : 0));
        end();
    }

    @Override
    public void fetchEndpointList() {
        record(120);
        end();
    }
}
