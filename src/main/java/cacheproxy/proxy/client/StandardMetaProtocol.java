package cacheproxy.proxy.client;

import cacheproxy.proxy.request.ClientRequest;
import cacheproxy.proxy.request.MetaCodec;
import java.util.Set;
import java.util.function.Supplier;

/**
 * The meta commands as stock memcached clients send them, without id and attributes (memcached's protocol.txt, "Meta
 * Commands"): {@code mg KEY v} and {@code ms KEY LENGTH}. Flags are {@code O} (opaque), {@code k} (the response repeats
 * the key) and {@code P} (the platform's attributes, which may name class, tenant and deadline). Other commands and
 * flags are answered with a line that names the unsupported part.
 */
public final class StandardMetaProtocol extends MetaProtocol {
    private static final String UNKNOWN_COMMAND = "ERROR this listener takes mg, ms and mn";
    private static final String READ_FLAGS = "vOkP";
    private static final String WRITE_FLAGS = "OkP";
    /** The longest opaque of memcached's protocol.txt, in characters. */
    private static final int MAX_OPAQUE_LENGTH = 32;

    private final String readDefaults;
    private final String writeDefaults;
    private final Set<String> deduplicatedClasses;
    private final Supplier<String> idGenerator;

    /**
     * Creates a grammar that adds the following to requests.
     *
     * @param readDefaults the default attributes of a read, such as {@code c=page,t=acme,d=400}; an attribute that the
     *     request has itself takes precedence
     * @param writeDefaults the same for writes
     * @param deduplicatedClasses the names of the classes whose repeated writes servers drop by a deduplication key; a
     *     write without such a key gets its id as the key
     * @param idGenerator provides the ids of new requests
     */
    public StandardMetaProtocol(
            String readDefaults, String writeDefaults, Set<String> deduplicatedClasses, Supplier<String> idGenerator) {
        this.readDefaults = readDefaults;
        this.writeDefaults = writeDefaults;
        this.deduplicatedClasses = deduplicatedClasses;
        this.idGenerator = idGenerator;
    }

    @Override
    String unknownCommandLine() {
        return UNKNOWN_COMMAND + "\r\n";
    }

    @Override
    void parse(String line, MetaCommandHandler handler) throws MetaCodec.SyntaxException {
        if (isWrite(line)) {
            parseWrite(line, handler);
        } else if (isRead(line)) {
            parseRead(line, handler);
        } else {
            handler.onInvalid(unsupportedCommand(line));
        }
    }

    private static String unsupportedCommand(String line) {
        String command = MetaCodec.tokenAt(line, 0);
        boolean metaCommand = command.length() == 2 && command.startsWith("m");
        return UNKNOWN_COMMAND + (metaCommand ? ", not " + printableOr(command, "that") : "");
    }

    private void parseRead(String line, MetaCommandHandler handler) {
        String key = MetaCodec.tokenAt(line, COMMAND_LENGTH);
        Flags flags = new Flags();
        String error = validate(line, key, COMMAND_LENGTH + key.length() + 1, READ_FLAGS, flags);
        if (error == null && !flags.valueRequested) {
            error = "CLIENT_ERROR mg needs the flag v";
        }
        if (error == null) {
            error = flags.opaqueError();
        }
        if (error != null) {
            handler.onInvalid(error);
            return;
        }
        String attributes = withDefaults(flags.attributes, readDefaults);
        handler.onRead(ClientRequest.of(key, idGenerator.get(), false, 0, attributes), flags.echo(key));
    }

    private void parseWrite(String line, MetaCommandHandler handler) throws MetaCodec.SyntaxException {
        String key = MetaCodec.tokenAt(line, COMMAND_LENGTH);
        int lengthIndex = COMMAND_LENGTH + key.length() + 1;
        String length = MetaCodec.tokenAt(line, lengthIndex);
        int valueBytes = MetaCodec.parseLength(length);
        Flags flags = new Flags();
        String error = validate(line, key, lengthIndex + length.length() + 1, WRITE_FLAGS, flags);
        if (error == null) {
            error = flags.opaqueError();
        }
        if (error != null) {
            handler.onStandardWrite(null, valueBytes, "", error);
            return;
        }
        String attributes = withDefaults(flags.attributes, writeDefaults);
        handler.onStandardWrite(writeRequest(key, valueBytes, attributes), valueBytes, flags.echo(key), null);
    }

    private ClientRequest writeRequest(String key, int valueBytes, String attributes) {
        String id = idGenerator.get();
        boolean needsDeduplicationKey = deduplicatedClasses.contains(MetaCodec.attribute(attributes, "c"))
                && MetaCodec.attributeValueIndex(attributes, "k") < 0;
        return ClientRequest.of(
                key, id, true, valueBytes, needsDeduplicationKey ? attributes + ",k=" + id : attributes);
    }

    /** Checks the key and characters and reads the flags; returns the error line, or null if there is no error. */
    private static String validate(String line, String key, int flagsIndex, String supportedFlags, Flags flags) {
        if (!isValidKey(key) || !MetaCodec.isPrintable(line)) {
            return "CLIENT_ERROR a key has 1 to 250 printing ASCII characters, and so has the line";
        }
        return flags.read(line, flagsIndex, supportedFlags);
    }

    /** The flags of one command line. */
    private static final class Flags {
        private String opaque;
        private String attributes = "";
        private boolean echoKey;
        private boolean valueRequested;

        /**
         * Reads the flags from this index on; returns the error line for the first unsupported flag, or null if there
         * is none.
         */
        String read(String line, int from, String supported) {
            int end;
            for (int start = from; start < line.length(); start = end + 1) {
                int space = line.indexOf(' ', start);
                end = space < 0 ? line.length() : space;
                if (end == start) {
                    continue;
                }
                char flag = line.charAt(start);
                boolean takesArgument = flag == 'O' || flag == 'P';
                if (supported.indexOf(flag) < 0 || (end - start > 1 && !takesArgument)) {
                    return "CLIENT_ERROR flag " + flag + " is not offered; "
                            + (supported.equals(WRITE_FLAGS) ? "ms takes O, k and P" : "mg takes v, O, k and P");
                }
                set(flag, line, start + 1, end);
            }
            return null;
        }

        private void set(char flag, String line, int argumentStart, int argumentEnd) {
            switch (flag) {
                case 'O' -> opaque = line.substring(argumentStart, argumentEnd);
                case 'P' -> attributes = line.substring(argumentStart, argumentEnd);
                case 'k' -> echoKey = true;
                default -> valueRequested = true;
            }
        }

        /** Returns the error line for an opaque that is too long, or null if its length is valid. */
        String opaqueError() {
            return opaque != null && opaque.length() > MAX_OPAQUE_LENGTH
                    ? "CLIENT_ERROR an opaque has 32 characters at most"
                    : null;
        }

        String echo(String key) {
            return (opaque != null ? " O" + opaque : "") + (echoKey ? " k" + key : "");
        }
    }

    private static String withDefaults(String attributes, String defaults) {
        if (attributes.isEmpty()) {
            return defaults;
        }
        StringBuilder merged = new StringBuilder(attributes);
        for (String pair : defaults.split(",", 0)) {
            if (!pair.isEmpty()
                    && MetaCodec.attributeValueIndex(attributes, pair.substring(0, pair.indexOf('='))) < 0) {
                merged.append(merged.isEmpty() ? "" : ",").append(pair);
            }
        }
        return merged.toString();
    }

    private static String printableOr(String text, String replacement) {
        return text.chars().allMatch(character -> character > ' ' && character <= '~') ? text : replacement;
    }

    @Override
    String writeEcho(ClientRequest request, String standardEcho) {
        return standardEcho;
    }

    /** Stock clients do not support receipts. */
    @Override
    String storedLine(String echo, String receipt) {
        return "HD" + echo + "\r\n";
    }

    /** In the standard, a miss repeats no flags. */
    @Override
    String missLine(String echo) {
        return "EN\r\n";
    }
}
