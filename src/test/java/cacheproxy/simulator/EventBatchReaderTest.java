package cacheproxy.simulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.HexBytes;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import org.junit.jupiter.api.Test;

/** Batches of events, field by field. */
class EventBatchReaderTest {
    /** Two records, a tail of 6 bytes; at 2.5 ms, number 9. */
    private static final String BATCH = "7a000000 0000000000000440 02000000 09000000"
            + "ff feff 04030201 0807060504030201 0000803f 000000000000f03f" + "00".repeat(48 - 27) + "02000000 03000000"
            + "00".repeat(40) + "00 01 02 03 04 05";

    private static EventBatchReader reader(String hex) {
        return new EventBatchReader(new ByteArrayInputStream(HexBytes.parse(hex)));
    }

    @Test
    void readsHeaderAndFieldsInTheirOrder() throws IOException {
        EventBatchReader reader = reader(BATCH);
        assertThat(reader.next()).isTrue();
        assertThat(reader.nowMs()).isEqualTo(2.5);
        assertThat(reader.batchNumber()).isEqualTo(9);
        assertThat(reader.recordCount()).isEqualTo(2);
        reader.moveToRecord(0);
        assertThat(reader.readU8()).isEqualTo(0xff);
        assertThat(reader.readU16()).isEqualTo(0xfffe);
        assertThat(reader.readInt()).isEqualTo(0x01020304);
        assertThat(reader.readLong()).isEqualTo(0x0102030405060708L);
        assertThat(reader.readFloat()).isEqualTo(1);
        assertThat(reader.readDouble()).isEqualTo(1);
        assertThat(reader.next()).isFalse();
    }

    @Test
    void findsBytesInTheTail() throws IOException {
        EventBatchReader reader = reader(BATCH);
        reader.next();
        reader.moveToRecord(1);
        assertThat(reader.readTailBytes()).containsExactly(2, 3, 4);
        reader.moveToRecord(1);
        assertThatThrownBy(() -> reader.moveToTail(2))
                .isInstanceOf(SimulatorProtocolException.class)
                .hasMessage("offset 2 with 6 bytes lies outside the tail");
        reader.moveToRecord(1);
        reader.skip(8);
        assertThat(reader.readTailBytes()).as("offset and length 0").isEmpty();
    }

    @Test
    void growsItsBufferForLargeFrames() throws IOException {
        EventBatchReader reader = reader("40420f00 0000000000000440 00000000 01000000" + "00".repeat(999_980) + BATCH);
        assertThat(reader.next()).isTrue();
        assertThat(reader.recordCount()).isZero();
        assertThat(reader.next()).isTrue();
        assertThat(reader.batchNumber()).isEqualTo(9);
    }

    @Test
    void reportsFramesThatAreCutShort() {
        assertThatThrownBy(() -> reader("1400").next())
                .isInstanceOf(SimulatorProtocolException.class)
                .hasMessage("after batch 0: input ends inside a frame");
        assertThatThrownBy(() -> reader("13000000").next())
                .isInstanceOf(SimulatorProtocolException.class)
                .hasMessage("after batch 0: frame of 19 bytes, under its header");
    }
}
