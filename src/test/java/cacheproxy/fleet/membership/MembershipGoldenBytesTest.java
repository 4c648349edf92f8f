package cacheproxy.fleet.membership;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.HexBytes;
import cacheproxy.discovery.VersionGossip;
import cacheproxy.discovery.WatchVersionMessage;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The bytes of the datagrams about membership and endpoint lists, which other versions of the program must read and
 * write identically.
 */
class MembershipGoldenBytesTest {
    private static final long NUMBER = 0x0102030405060708L;
    private static final long PEER = 0xf1f2f3f4f5f6f7f8L;

    @Test
    void eachSwimMessageKindHasGoldenBytes() {
        assertBytes(SwimMessageKind.PING, "00");
        assertBytes(SwimMessageKind.ACK, "01");
        assertBytes(SwimMessageKind.PING_REQUEST, "02");
        assertBytes(SwimMessageKind.NACK, "03");
        assertThat(SwimMessageKind.values()).hasSize(4);
    }

    private static void assertBytes(SwimMessageKind kind, String code) {
        byte[] golden = HexBytes.parse(code + "0102030405060708 f1f2f3f4f5f6f7f8 00");
        SwimMessage message = new SwimMessage(kind, NUMBER, PEER, List.of());
        assertThat(message.encode()).isEqualTo(golden);
        assertThat(SwimMessage.decode(golden)).isEqualTo(message);
    }

    @Test
    void updateOfEachMemberStatusHasGoldenBytes() {
        byte[] golden = HexBytes.parse("01 0102030405060708 f1f2f3f4f5f6f7f8 03"
                + "0000000000000001 00 00000000  f1f2f3f4f5f6f7f8 01 0000002a  0000000000000003 02 7fffffff");
        SwimMessage message = new SwimMessage(
                SwimMessageKind.ACK,
                NUMBER,
                PEER,
                List.of(
                        new MemberUpdate(1, MemberStatus.ALIVE, 0),
                        new MemberUpdate(PEER, MemberStatus.SUSPECT, 42),
                        new MemberUpdate(3, MemberStatus.DEAD, Integer.MAX_VALUE)));
        assertThat(message.encode()).isEqualTo(golden);
        assertThat(SwimMessage.decode(golden)).isEqualTo(message);
    }

    @Test
    void fullSwimMessageHasGoldenBytes() {
        byte[] golden =
                HexBytes.parse("00 0102030405060708 f1f2f3f4f5f6f7f8 0c" + "f1f2f3f4f5f6f7f8 01 00000007".repeat(12));
        SwimMessage message = new SwimMessage(
                SwimMessageKind.PING,
                NUMBER,
                PEER,
                Collections.nCopies(SwimMessage.MAX_UPDATES, new MemberUpdate(PEER, MemberStatus.SUSPECT, 7)));
        assertThat(message.encode()).isEqualTo(golden);
        assertThat(SwimMessage.decode(golden)).isEqualTo(message);
    }

    @ParameterizedTest
    @CsvSource({"false,00,0000019412345678", "true,01,0000000000000000"})
    void watchVersionMessageHasGoldenBytes(boolean correction, String code, String epochBytes) {
        byte[] golden = HexBytes.parse(code + "f1f2f3f4f5f6f7f8" + epochBytes + "000000000000002a ffffffffffffffff");
        WatchVersionMessage message = new WatchVersionMessage(correction, PEER, Long.parseLong(epochBytes, 16), 42, -1);
        assertThat(message.encode()).isEqualTo(golden);
        assertThat(WatchVersionMessage.decode(golden)).isEqualTo(message);
    }

    @ParameterizedTest
    @CsvSource({"0,0000000000000000", "72623859790382856,0102030405060708", "-2,fffffffffffffffe"})
    void versionGossipHasGoldenBytes(long version, String bytes) {
        byte[] golden = HexBytes.parse("56" + bytes);
        VersionGossip gossip = new VersionGossip();
        gossip.versionChanged();
        assertThat(gossip.takeMessage(version)).isEqualTo(golden);
        assertThat(VersionGossip.isVersionMessage(golden)).isTrue();
        assertThat(VersionGossip.decodeVersion(golden)).isEqualTo(version);
    }
}
