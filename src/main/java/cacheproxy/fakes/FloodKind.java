package cacheproxy.fakes;

import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;

/** What a {@link FloodClient} sends at full speed. */
public enum FloodKind {
    EMPTY_LINES {
        @Override
        void append(StringBuilder lines, long number, SplittableRandom random) {
            lines.append("\r\n");
        }
    },
    /** Commands that do not exist, each under a name of its own. */
    UNKNOWN_COMMANDS {
        @Override
        void append(StringBuilder lines, long number, SplittableRandom random) {
            lines.append("x").append(number).append(" key\r\n");
        }
    },
    /** Commands of the protocol that the proxy does not offer. */
    UNSUPPORTED_COMMANDS {
        @Override
        void append(StringBuilder lines, long number, SplittableRandom random) {
            lines.append("me key").append(number).append("\r\n");
        }
    },
    READS_WITHOUT_KEY {
        @Override
        void append(StringBuilder lines, long number, SplittableRandom random) {
            lines.append("mg  v\r\n");
        }
    },
    PINGS {
        @Override
        void append(StringBuilder lines, long number, SplittableRandom random) {
            lines.append("mn\r\n");
        }
    },
    /** Sound reads under ever new keys and ids, of a class that does not exist, each of which is rejected. */
    REJECTED_READS {
        @Override
        void append(StringBuilder lines, long number, SplittableRandom random) {
            String name = Long.toString(number, Character.MAX_RADIX);
            lines.append("mg ")
                    .append(name)
                    .append(" v O")
                    .append(name)
                    .append(" Pc=none")
                    .append(name);
            lines.append(",d=500\r\n");
        }
    },
    /** Sound reads under ever new keys and ids. */
    READS {
        @Override
        void append(StringBuilder lines, long number, SplittableRandom random) {
            String name = Long.toString(number, Character.MAX_RADIX);
            lines.append("mg ").append(name).append(" v O").append(name).append(" Pc=seg-text,d=500\r\n");
        }
    },
    /** Bytes of any value, among them line ends. */
    BINARY {
        @Override
        void append(StringBuilder lines, long number, SplittableRandom random) {
            lines.append((char) random.nextInt(1 << Byte.SIZE));
        }
    },
    /** A line that never ends. */
    ENDLESS_LINE {
        @Override
        void append(StringBuilder lines, long number, SplittableRandom random) {
            lines.append('x');
        }
    },
    /** Commands of which each byte is sent by itself. */
    SEGMENTS {
        @Override
        void append(StringBuilder lines, long number, SplittableRandom random) {
            lines.append("mn\r\n");
        }

        @Override
        int blockBytes() {
            return 1;
        }
    },
    /** Connections that are closed after one command. */
    RECONNECTS {
        @Override
        void append(StringBuilder lines, long number, SplittableRandom random) {
            lines.append("mn\r\n");
        }

        @Override
        int blockBytes() {
            return 1;
        }

        @Override
        boolean closesAfterBlock() {
            return true;
        }
    };

    private static final int BLOCK_BYTES = 16 << 10;

    /** Appends the next bytes, each as one character. */
    abstract void append(StringBuilder lines, long number, SplittableRandom random);

    /** The least that a block has; one that is that short is sent by itself. */
    int blockBytes() {
        return BLOCK_BYTES;
    }

    /** Whether each connection ends after its first block. */
    boolean closesAfterBlock() {
        return false;
    }

    /** Creates a block of whole lines; {@code firstNumber} numbers its first one. */
    byte[] block(long firstNumber, SplittableRandom random) {
        StringBuilder lines = new StringBuilder();
        for (long number = firstNumber; lines.length() < blockBytes(); number++) {
            append(lines, number, random);
        }
        return lines.toString().getBytes(StandardCharsets.ISO_8859_1);
    }
}
