package cacheproxy.snapshot;

import java.util.Arrays;
import java.util.Optional;

/** The kinds of sections of a snapshot file. */
enum SectionKind {
    /** Site and proxy number. */
    IDENTITY(1, 1),
    /** Servers of one pool with failed or overdue attempts; version 1 had no addresses. */
    SERVERS(2, 2),
    /** Average latencies of one pool. */
    LATENCY(3, 1),
    /** Load counts of one pool. */
    LOAD(4, 1),
    /** Hot keys of one pool. */
    HOT_KEYS(5, 1),
    /** Start times of servers that are in no endpoint list. */
    SERVER_STARTS(6, 1);

    /** The kind's number in a file. */
    final int code;

    /** The version in which this program writes the kind; it reads this and all earlier ones. */
    final int version;

    SectionKind(int code, int version) {
        this.code = code;
        this.version = version;
    }

    /** Returns the kind of a section that this program can read; empty if a newer program has written it. */
    static Optional<SectionKind> readable(int code, int version) {
        return Arrays.stream(values())
                .filter(kind -> kind.code == code && version >= 1 && version <= kind.version)
                .findFirst();
    }
}
