package cacheproxy.simulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;

/** What the simulator gets for batches of events, and for input that is malformed. */
class SimulatorAdapterTest {
    @SuppressWarnings("StringConcatToTextBlock") // one line of the text a line of the source
    private static final String SETTINGS = String.join(
            "\n",
            "me=1",
            "balancers=2",
            "locality=0",
            "zones=a,b",
            "kinds=box,origin",
            "discovery=push",
            "report.how=silent",
            "report.names=",
            "value-by=request",
            "caps.may-cancel=true",
            "caps.may-probe=false",
            "caps.peers=false",
            "caps.second-copies=false",
            "caps.retry-after=true",
            "caps.max-attempts=3",
            "caps.connect-timeout=100.0",
            "guarantees.drain-grace=2000.0",
            "guarantees.grace-to-answer=20.0",
            "guarantees.start-capacity=0.3",
            "guarantees.warm-up=9000.0",
            "guarantees.tip-multiple=3.0",
            "guarantees.fall=1500.0",
            "extra.mode=aside",
            "extra.origin-kind=1",
            "a.key.of.tomorrow=x",
            "classes.count=1",
            "classes.0.name=read",
            "classes.0.idempotency=retryable",
            "classes.0.promise=250.0",
            "classes.0.deadline=1000.0",
            "classes.0.stream=false");

    /** Builds one batch; records are written with their fields at the stated places. */
    private static final class Batch {
        final ByteBuffer buffer =
                ByteBuffer.allocate(4096).order(ByteOrder.LITTLE_ENDIAN).position(20);
        final ByteArrayOutputStream tail = new ByteArrayOutputStream();
        int count;

        ByteBuffer record(int code, int instance) {
            int start = 20 + 48 * count++;
            buffer.position(start + 48);
            buffer.put(start, (byte) code).putShort(start + 1, (short) instance);
            return buffer.slice(start, 48).order(ByteOrder.LITTLE_ENDIAN);
        }

        void span(ByteBuffer record, int at, byte[] data, int length) {
            record.putInt(at, tail.size()).putInt(at + 4, length);
            tail.writeBytes(data);
        }

        Batch start(String settings) {
            span(record(10, 3), 11, settings.getBytes(StandardCharsets.UTF_8), settings.length());
            byte[] entry = ByteBuffer.allocate(22)
                    .order(ByteOrder.LITTLE_ENDIAN)
                    .putInt(0, 0xF211902C)
                    .put(9, (byte) 2)
                    .putFloat(10, 1)
                    .array();
            ByteBuffer list = record(20, 3).put(11, (byte) 2);
            span(list, 12, entry, 1);
            return this;
        }

        byte[] bytes() {
            buffer.putInt(0, buffer.position() + tail.size())
                    .putDouble(4, 100)
                    .putInt(12, count)
                    .putInt(16, 7);
            buffer.put(tail.toByteArray());
            byte[] all = new byte[buffer.position()];
            buffer.get(0, all);
            return all;
        }
    }

    private static byte[] run(byte[] input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorAdapter(new ByteArrayInputStream(input), out).run();
        return out.toByteArray();
    }

    /** The protocol's example: an empty batch with its reply. */
    @Test
    void answersEmptyBatchAsDocumented() throws IOException {
        HexFormat hex = HexFormat.of();
        byte[] reply = run(hex.parseHex("1400000000000000206ec0400000000001000000"));
        assertThat(hex.formatHex(reply)).isEqualTo("0c0000000000000001000000");
        assertThat(run(new byte[0])).isEmpty();
    }

    @Test
    void sendsRequestToListedServer() throws IOException {
        Batch batch = new Batch().start(SETTINGS);
        batch.record(30, 3).putInt(3, 0x5D3A91C4).putDouble(9, 900).putLong(33, 99);
        ByteBuffer reply = ByteBuffer.wrap(run(batch.bytes())).order(ByteOrder.LITTLE_ENDIAN);
        assertThat(reply.getInt(0)).isEqualTo(reply.capacity());
        assertThat(reply.getInt(8)).isEqualTo(7);
        boolean placed = false;
        for (int i = 0; i < reply.getInt(4); i++) {
            int at = 12 + 24 * i;
            if (reply.get(at) == 10) {
                placed = true;
                assertThat(reply.getShort(at + 1)).isEqualTo((short) 3);
                assertThat(reply.getInt(at + 3)).isEqualTo(0x5D3A91C4);
                assertThat(reply.getInt(at + 7)).isEqualTo(0xF211902C);
            }
        }
        assertThat(placed).isTrue();
    }

    @Test
    void stopsAndStartsInstanceInOneBatch() throws IOException {
        Batch batch = new Batch().start(SETTINGS);
        batch.record(100, 3);
        batch.start(SETTINGS);
        assertThat(ByteBuffer.wrap(run(batch.bytes()))
                        .order(ByteOrder.LITTLE_ENDIAN)
                        .getInt(8))
                .isEqualTo(7);
    }

    @Test
    void reportsExceptionOfPolicyAsFault() throws IOException {
        Batch batch = new Batch().start(SETTINGS);
        batch.record(30, 3).putInt(3, 1).putDouble(9, 900).putShort(41, (short) 5);
        byte[] reply = run(batch.bytes());
        assertThat(reply[12]).isEqualTo((byte) 100);
        assertThat(new String(reply, StandardCharsets.UTF_8))
                .contains("instance 3")
                .contains("class 5");
    }

    @Test
    void reportsWhereInputIsMalformed() {
        byte[] good = new Batch().start(SETTINGS).bytes();
        assertThatThrownBy(() -> run(Arrays.copyOf(good, good.length - 1))).hasMessageContaining("inside a frame");
        assertThatThrownBy(() -> run(new byte[] {5, 0, 0, 0, 0})).hasMessageContaining("frame of 5 bytes");
        Batch unknown = new Batch().start(SETTINGS);
        unknown.record(31, 3);
        assertThatThrownBy(() -> run(unknown.bytes()))
                .isInstanceOf(SimulatorProtocolException.class)
                .hasMessage("batch 7, record 2: unknown event code 31");
        Batch nobody = new Batch();
        nobody.record(70, 4);
        assertThatThrownBy(() -> run(nobody.bytes())).hasMessage("batch 7, record 0: unknown instance 4");
        Batch outside = new Batch().start(SETTINGS);
        outside.record(90, 3).putInt(7, 1 << 20).putInt(11, 4);
        assertThatThrownBy(() -> run(outside.bytes())).hasMessageContaining("outside the tail");
        byte[] many = new Batch().start(SETTINGS).bytes();
        ByteBuffer.wrap(many).order(ByteOrder.LITTLE_ENDIAN).putInt(12, 100000);
        assertThatThrownBy(() -> run(many)).hasMessageContaining("100000 records exceed the frame");
    }

    @Test
    void reportsMissingAndMalformedSettings() {
        assertThatThrownBy(() -> SettingsParser.ofLines(SETTINGS.replace("caps.max-attempts=3", ""))
                        .settings())
                .hasMessageContaining("caps.max-attempts");
        assertThatThrownBy(() -> SettingsParser.ofLines(SETTINGS.replace("=250.0", "=soon"))
                        .settings())
                .hasMessageContaining("classes.0.promise")
                .hasMessageContaining("soon");
        assertThat(SettingsParser.ofLines(SETTINGS).settings().classes()).hasSize(1);
    }
}
