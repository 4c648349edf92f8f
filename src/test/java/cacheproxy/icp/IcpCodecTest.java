package cacheproxy.icp;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.icp.IcpMessage.Opcode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import java.util.HexFormat;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Encodes and decodes ICP datagrams. The vectors are worked out by hand from RFC 2186; no encoder produced them. */
class IcpCodecTest {
    private static byte[] hex(String text) {
        return HexFormat.of().parseHex(text.replace(" ", ""));
    }

    private static IcpMessage decode(byte[] bytes) throws MalformedMessageException {
        return IcpCodec.decode(Unpooled.wrappedBuffer(bytes));
    }

    private static byte[] encode(IcpMessage message) {
        ByteBuf buf = IcpCodec.encode(ByteBufAllocator.DEFAULT, message);
        try {
            byte[] bytes = new byte[buf.readableBytes()];
            buf.readBytes(bytes);
            return bytes;
        } finally {
            assertThat(buf.release()).isTrue();
        }
    }

    /**
     * Opcode 1, version 2, 36 octets; request 0x01020304; both options; from 10.0.0.1 for 10.0.0.2; "http://a/b" and
     * NUL.
     */
    private static final String QUERY =
            "01 02 0023 01020304 c0000000 00000000 0a000001 0a000002 687474703a2f2f612f62 00";

    @Test
    void encodesAndDecodesTheGoldenQuery() throws Exception {
        IcpMessage message = new IcpMessage(
                Opcode.QUERY,
                0x01020304,
                IcpMessage.FLAG_HIT_OBJ | IcpMessage.FLAG_SRC_RTT,
                0,
                0x0a000001,
                0x0a000002,
                "http://a/b",
                null);
        assertThat(decode(hex(QUERY))).isEqualTo(message);
        assertThat(encode(message)).isEqualTo(hex(QUERY));
        assertThat(message.reply(Opcode.MISS)).satisfies(reply -> {
            assertThat(reply.requestNumber()).isEqualTo(0x01020304);
            assertThat(reply.url()).isEqualTo("http://a/b");
            assertThat(reply.options())
                    .as("an option is set only where it is used")
                    .isZero();
        });
    }

    /**
     * Replies have no requester's address. This is a MISS with a round-trip time to the origin of 300 ms in the low
     * half of the option data.
     */
    @Test
    void encodesAndDecodesTheGoldenMissWithRoundTripTime() throws Exception {
        byte[] bytes = hex("03 02 0018 ffffffff 40000000 abcd012c 00000000 782f79 00");
        IcpMessage message = decode(bytes);
        assertThat(message.opcode()).isEqualTo(Opcode.MISS);
        assertThat(message.requestNumber()).isEqualTo(-1);
        assertThat(message.sourceRttMs()).isEqualTo(300);
        assertThat(encode(message)).isEqualTo(bytes);
        assertThat(decode(hex(QUERY)).sourceRttMs())
                .as("a query gives no round-trip time")
                .isEqualTo(-1);
        assertThat(decode(hex("03 02 0018 ffffffff 00000000 abcd012c 00000000 782f79 00"))
                        .sourceRttMs())
                .isEqualTo(-1);
    }

    /** URL, NUL, two octets of size, the object. */
    @Test
    void encodesAndDecodesTheGoldenHitWithObject() throws Exception {
        byte[] bytes = hex("17 02 001b 00000007 80000000 00000000 00000000 78 00 0003 000aff");
        IcpMessage message = decode(bytes);
        assertThat(message.opcode()).isEqualTo(Opcode.HIT_OBJ);
        assertThat(message.object()).isEqualTo(new byte[] {0, 10, -1});
        assertThat(encode(message)).isEqualTo(bytes);
    }

    @ParameterizedTest
    @CsvSource({
        "QUERY,1",
        "HIT,2",
        "MISS,3",
        "ERR,4",
        "SECHO,10",
        "DECHO,11",
        "MISS_NOFETCH,21",
        "DENIED,22",
        "HIT_OBJ,23"
    })
    void encodesEachOpcodeWithItsCode(Opcode opcode, int number) throws Exception {
        byte[] object = opcode == Opcode.HIT_OBJ ? new byte[5] : null;
        byte[] bytes = encode(new IcpMessage(opcode, 9, 0, 0, 0, 0, "k", object));
        assertThat(bytes[0]).isEqualTo((byte) number);
        assertThat(decode(bytes).opcode()).isEqualTo(opcode);
        assertThat(opcode.isReply())
                .isEqualTo(opcode != Opcode.QUERY && opcode != Opcode.SECHO && opcode != Opcode.DECHO);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "'' | shorter than a header",
                "01 02 0013 01020304 00000000 00000000 000000 | shorter than a header",
                "01 02 0024 01020304 c0000000 00000000 0a000001 0a000002 687474703a2f2f612f62 00 | not that of the datagram",
                "01 02 0022 01020304 c0000000 00000000 0a000001 0a000002 687474703a2f2f612f62 00 | not that of the datagram",
                "01 03 0023 01020304 c0000000 00000000 0a000001 0a000002 687474703a2f2f612f62 00 | version is not 2",
                "00 02 0018 ffffffff 00000000 00000000 00000000 782f79 00 | none of RFC 2186",
                "05 02 0018 ffffffff 00000000 00000000 00000000 782f79 00 | none of RFC 2186",
                "ff 02 0018 ffffffff 00000000 00000000 00000000 782f79 00 | none of RFC 2186",
                "03 02 0017 ffffffff 00000000 00000000 00000000 782f79 | URL does not end",
                "03 02 0014 ffffffff 00000000 00000000 00000000 | URL does not end",
                "01 02 0016 ffffffff 00000000 00000000 00000000 0000 | URL does not end",
                "01 02 0018 ffffffff 00000000 00000000 00000000 00000000 | URL does not end",
                "03 02 0018 ffffffff 00000000 00000000 00000000 782079 00 | not printing",
                "03 02 0018 ffffffff 00000000 00000000 00000000 780a79 00 | not printing",
                "03 02 0018 ffffffff 00000000 00000000 00000000 78ff79 00 | not printing",
                "03 02 0019 ffffffff 00000000 00000000 00000000 782f79 00 00 | octets behind",
                "17 02 0017 00000007 00000000 00000000 00000000 78 00 00 | not as long as it says",
                "17 02 001a 00000007 00000000 00000000 00000000 78 00 0003 000a | not as long as it says",
                "17 02 001c 00000007 00000000 00000000 00000000 78 00 0003 000aff00 | not as long as it says"
            })
    void rejectsTruncatedOverlongAndInconsistentDatagrams(String bytes, String expectedMessage) {
        assertThatThrownBy(() -> decode(hex(bytes)))
                .isInstanceOf(MalformedMessageException.class)
                .hasMessageContaining(expectedMessage);
    }

    @Test
    void rejectsMessagesLongerThanTheMaximum() throws Exception {
        String url = "u".repeat(IcpMessage.MAX_LENGTH - 25);
        byte[] longest = encode(IcpMessage.query(1, 0, url));
        assertThat(longest).hasSize(IcpMessage.MAX_LENGTH);
        assertThat(decode(longest).url()).isEqualTo(url);
        assertThatThrownBy(() -> encode(IcpMessage.query(1, 0, url + "u")))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> decode(new byte[IcpMessage.MAX_LENGTH + 1])).hasMessageContaining("longer than 16384");
        assertThatThrownBy(() -> encode(IcpMessage.query(1, 0, "a b"))).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> encode(new IcpMessage(Opcode.HIT, 1, 0, 0, 0, 0, "a", new byte[1])))
                .isInstanceOf(IllegalArgumentException.class);
    }

    /** Option bits that have no meaning are ignored in a received message and never sent. */
    @Test
    void clearsUnknownOptions() throws Exception {
        assertThat(decode(hex(QUERY.replace("c0000000", "3fffffff"))).options()).isZero();
        assertThatThrownBy(() -> encode(IcpMessage.query(1, 1, "a"))).isInstanceOf(IllegalArgumentException.class);
    }

    @SuppressWarnings("EnumOrdinal") // draws a constant, or checks its code on the wire
    @ParameterizedTest
    @EnumSource(Opcode.class)
    void decodesOrRejectsCorruptedDatagrams(Opcode opcode) throws Exception {
        SplittableRandom random = new SplittableRandom(opcode.ordinal());
        int decodedCount = 0;
        for (int i = 0; i < 20_000; i++) {
            byte[] object = opcode == Opcode.HIT_OBJ ? new byte[random.nextInt(40)] : null;
            byte[] bytes = encode(
                    new IcpMessage(opcode, random.nextInt(), 0, random.nextInt(), 0, 0, "http://a/" + i, object));
            for (int remaining = random.nextInt(4); remaining > 0; remaining--) {
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
            }
            if (random.nextInt(4) == 0) {
                bytes = java.util.Arrays.copyOf(bytes, random.nextInt(bytes.length + 8));
            }
            ByteBuf buf = Unpooled.wrappedBuffer(bytes);
            try {
                IcpMessage message = IcpCodec.decode(buf);
                assertThat(decode(encode(message))).usingRecursiveComparison().isEqualTo(message);
                decodedCount++;
            } catch (MalformedMessageException e) {
                assertThat(e.getMessage()).isNotBlank();
            }
            assertThat(buf.readerIndex()).as("the caller's buffer is unchanged").isZero();
        }
        assertThat(decodedCount).isBetween(1_000, 19_000);
    }
}
