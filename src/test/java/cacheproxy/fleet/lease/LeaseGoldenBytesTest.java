package cacheproxy.fleet.lease;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.HexBytes;
import cacheproxy.fleet.lease.LeaseMessage.Kind;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The bytes of lease datagrams and of the ids in them, which other versions of the program must read and write
 * identically.
 */
class LeaseGoldenBytesTest {
    private static final long LEASE_ID = 0x0102030405060708L;
    private static final long NONCE = 0x1112131415161718L;
    private static final long EPOCH = 0x0000019412345678L;
    private static final long HOLDER = 0xf1f2f3f4f5f6f7f8L;

    @Test
    void encodesAndDecodesEachKind() {
        assertBytes(Kind.QUERY, "00");
        assertBytes(Kind.STATUS, "01");
        assertBytes(Kind.CLAIM, "02");
        assertBytes(Kind.GRANT, "03");
        assertBytes(Kind.REJECT, "04");
        assertBytes(Kind.RELEASE, "05");
        assertBytes(Kind.TRANSFER, "06");
        assertThat(Kind.values()).hasSize(7);
    }

    private static void assertBytes(Kind kind, String code) {
        byte[] golden =
                HexBytes.parse(code + "0102030405060708 1112131415161718 0000019412345678 f1f2f3f4f5f6f7f8 00002710");
        LeaseMessage message = new LeaseMessage(kind, LEASE_ID, NONCE, EPOCH, HOLDER, 10_000);
        assertThat(message.encode()).isEqualTo(golden);
        assertThat(LeaseMessage.decode(golden)).isEqualTo(message);
    }

    @Test
    void encodesAndDecodesExtremeValues() {
        byte[] smallest =
                HexBytes.parse("01 0000000000000000 0000000000000000 0000000000000000 0000000000000000 00000000");
        LeaseMessage smallestMessage = new LeaseMessage(Kind.STATUS, 0, 0, 0, NameHash.NO_ID, 0);
        assertThat(smallestMessage.encode()).isEqualTo(smallest);
        assertThat(LeaseMessage.decode(smallest)).isEqualTo(smallestMessage);
        byte[] largest =
                HexBytes.parse("03 ffffffffffffffff 8000000000000000 0020000000000000 7fffffffffffffff 7fffffff");
        LeaseMessage largestMessage = new LeaseMessage(
                Kind.GRANT, -1, Long.MIN_VALUE, LeaseMessage.MAX_EPOCH, Long.MAX_VALUE, Integer.MAX_VALUE);
        assertThat(largestMessage.encode()).isEqualTo(largest);
        assertThat(LeaseMessage.decode(largest)).isEqualTo(largestMessage);
    }

    /** The first eight bytes of the SHA-256 of the name in UTF-8. */
    @ParameterizedTest
    @CsvSource({"p1,f64551fcd6f07823", "refresh,d6cc0a088c07683c", "p\u00e9,c26c0a1f2f46b3f7"})
    void nameIdIsUnchanged(String name, String id) {
        assertThat(NameHash.of(name)).isEqualTo(Long.parseUnsignedLong(id, 16));
    }

    @ParameterizedTest
    @CsvSource({
        "vote,refresh,c71c4e040acf6927",
        "stand,refresh,dbc1f4305a9b40dc",
        "vote,sweep,5489bfbfeb000479",
        "stand,sweep,ef75e2cb490ee692"
    })
    void seededHashIsUnchanged(String purpose, String lease, String hash) {
        assertThat(NameHash.seededHash(purpose, lease, "p1")).isEqualTo(Long.parseUnsignedLong(hash, 16));
    }

    /** Proxies of all versions must choose the same voters and the same order of candidates. */
    @Test
    void votersAndCandidateOrderAreUnchanged() {
        List<String> peers = IntStream.rangeClosed(1, 7).mapToObj(i -> "p" + i).toList();
        VoterSet refresh = new VoterSet("refresh", peers, List.of(), 3);
        assertThat(refresh.voters()).containsExactlyInAnyOrderElementsOf(ids("p4", "p3", "p1"));
        assertThat(refresh.candidateOrder()).isEqualTo(ids("p7", "p2", "p3", "p1", "p5", "p6", "p4"));
        VoterSet sweep = new VoterSet("sweep", peers, List.of(), 5);
        assertThat(sweep.voters()).containsExactlyInAnyOrderElementsOf(ids("p3", "p6", "p5", "p7", "p4"));
        assertThat(sweep.candidateOrder()).isEqualTo(ids("p3", "p4", "p1", "p6", "p7", "p2", "p5"));
    }

    private static List<Long> ids(String... names) {
        return List.of(names).stream().map(NameHash::of).toList();
    }
}
