package cacheproxy.proxy.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.proxy.request.MetaCodec;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests that bodies buffered in parts of any size are returned complete, and that their memory is released. */
class BufferedBodyTest {
    private final UnpooledByteBufAllocator allocator = new UnpooledByteBufAllocator(false);
    private final BufferedBody body = new BufferedBody();

    private static byte[] bytes(Random random, int length) {
        byte[] bytes = new byte[length];
        random.nextBytes(bytes);
        return bytes;
    }

    private void append(ByteBuf part) {
        body.append(part);
        if (part.isReadable()) {
            body.appendLong(allocator, part);
        }
        part.release();
    }

    private void appendInParts(byte[] value, Random random, int maxPartBytes) {
        for (int start = 0; start < value.length; ) {
            int length = Math.min(value.length - start, 1 + random.nextInt(maxPartBytes));
            append(Unpooled.copiedBuffer(value, start, length));
            start += length;
            assertThat(body.length()).isEqualTo(start);
        }
    }

    private byte[] takeLong() {
        ByteArrayOutputStream taken = new ByteArrayOutputStream();
        body.beginTaking();
        for (ByteBuf chunk; (chunk = body.takeChunk()) != null; ) {
            byte[] bytes = new byte[chunk.readableBytes()];
            chunk.readBytes(bytes);
            taken.writeBytes(bytes);
            chunk.release();
        }
        return taken.toByteArray();
    }

    private long usedBytes() {
        return allocator.metric().usedHeapMemory() + allocator.metric().usedDirectMemory();
    }

    @Test
    void aShortBodyIsTakenOnce() {
        assertThat(body.hasBegun()).isFalse();
        body.begin(allocator, 5);
        assertThat(body.hasBegun()).isTrue();
        append(Unpooled.copiedBuffer(new byte[] {1, 2, 3}));
        append(Unpooled.copiedBuffer(new byte[] {4, 5}));
        assertThat(body.isLong()).isFalse();
        ByteBuf taken = body.take();
        assertThat(taken).isEqualTo(Unpooled.copiedBuffer(new byte[] {1, 2, 3, 4, 5}));
        assertThat(body.hasBegun()).isFalse();
        assertThat(body.take()).isNull();
        taken.release();
        assertThat(usedBytes()).isZero();
    }

    @Test
    void aBodyIsLongFromTheFirstByteBeyondTheLengthOfAShortOne() {
        Random random = new Random(3);
        byte[] value = bytes(random, MetaCodec.MAX_BUFFERED_VALUE_BYTES + 1);
        body.begin(allocator, -1);
        append(Unpooled.copiedBuffer(value, 0, value.length - 1));
        assertThat(body.isLong()).isFalse();
        append(Unpooled.copiedBuffer(value, value.length - 1, 1));
        assertThat(body.isLong()).isTrue();
        assertThat(takeLong()).isEqualTo(value);
    }

    @Test
    void longBodiesComeOutAsTheyCameIn() {
        for (int seed = 0; seed < 30; seed++) {
            Random random = new Random(seed);
            byte[] value = bytes(random, MetaCodec.MAX_BUFFERED_VALUE_BYTES + 1 + random.nextInt(200_000));
            body.begin(allocator, -1);
            appendInParts(value, random, 1 + random.nextInt(100_000));
            assertThat(body.isLong()).isTrue();
            assertThat(takeLong()).as("seed %d", seed).isEqualTo(value);
            body.release();
            assertThat(body.isLong()).isFalse();
            assertThat(usedBytes()).as("seed %d", seed).isZero();
        }
    }

    @Test
    void whatIsNotTakenIsReleased() {
        Random random = new Random(7);
        List<ByteBuf> taken = new ArrayList<>();
        body.begin(allocator, -1);
        appendInParts(bytes(random, 200_000), random, 10_000);
        body.beginTaking();
        taken.add(body.takeChunk());
        body.release();
        assertThat(taken.get(0).refCnt())
                .as("a taken chunk belongs to its taker")
                .isEqualTo(1);
        taken.get(0).release();
        assertThat(usedBytes()).isZero();
        body.release(); // a second release has no effect
    }
}
