package cacheproxy.proxy.client;

import cacheproxy.proxy.request.ClientRequest;
import cacheproxy.proxy.request.MetaCodec;

/**
 * The platform's grammar: {@code mg KEY ... Oid Pattributes} and {@code ms KEY LENGTH ... Oid Pattributes}. The id and
 * the attributes are required, and the line is forwarded to cache servers unchanged except for the deadline.
 */
final class PlatformMetaProtocol extends MetaProtocol {
    static final PlatformMetaProtocol INSTANCE = new PlatformMetaProtocol();

    private static final String UNKNOWN_COMMAND = "ERROR";
    /** The response to a command whose key, id, attributes or characters are invalid. */
    static final String BAD_COMMAND_LINE = "CLIENT_ERROR bad command line format";

    private PlatformMetaProtocol() {}

    @Override
    String unknownCommandLine() {
        return UNKNOWN_COMMAND + "\r\n";
    }

    @Override
    void parse(String line, MetaCommandHandler handler) throws MetaCodec.SyntaxException {
        boolean write = isWrite(line);
        if (!write && !isRead(line)) {
            handler.onInvalid(UNKNOWN_COMMAND);
            return;
        }
        String key = MetaCodec.tokenAt(line, COMMAND_LENGTH);
        int flagsIndex = COMMAND_LENGTH + key.length() + 1;
        int valueBytes = 0;
        if (write) {
            String length = MetaCodec.tokenAt(line, flagsIndex);
            valueBytes = MetaCodec.parseLength(length);
            flagsIndex += length.length() + 1;
        }
        String id = MetaCodec.flagArgument(line, flagsIndex, 'O');
        String attributes = MetaCodec.flagArgument(line, flagsIndex, 'P');
        // Bytes other than printable ASCII can't be forwarded unchanged, least of all in a header to the origin.
        boolean valid =
                isValidKey(key) && id != null && !id.isEmpty() && attributes != null && MetaCodec.isPrintable(line);
        ClientRequest request = valid ? request(line, key, id, attributes, flagsIndex, write) : null;
        if (write) {
            handler.onWrite(request, valueBytes);
        } else if (valid) {
            handler.onRead(request, " O" + id);
        } else {
            handler.onInvalid(BAD_COMMAND_LINE);
        }
    }

    private static ClientRequest request(
            String line, String key, String id, String attributes, int flagsIndex, boolean write) {
        int attributesIndex = line.indexOf(" P", flagsIndex - 1) + 2;
        return new ClientRequest(
                key,
                id,
                write,
                attributes,
                line.substring(0, attributesIndex),
                line.substring(attributesIndex + attributes.length()));
    }

    @Override
    String writeEcho(ClientRequest request, String standardEcho) {
        return " O" + request.id();
    }

    @Override
    String storedLine(String echo, String receipt) {
        return "HD" + echo + (receipt == null ? "" : " c" + receipt) + "\r\n";
    }

    @Override
    String missLine(String echo) {
        return "EN" + echo + "\r\n";
    }
}
