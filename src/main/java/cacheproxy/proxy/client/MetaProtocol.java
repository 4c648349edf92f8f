package cacheproxy.proxy.client;

import cacheproxy.proxy.request.ClientRequest;
import cacheproxy.proxy.request.MetaCodec;

/** The grammar of the {@code mg} and {@code ms} commands that a listener accepts, and of the responses to them. */
public abstract sealed class MetaProtocol permits PlatformMetaProtocol, StandardMetaProtocol {
    /** The longest key of memcached's protocol.txt, in characters. */
    private static final int MAX_KEY_LENGTH = 250;

    /** The length of a command's name and the space after it. */
    static final int COMMAND_LENGTH = 3;

    /** The grammar of the platform's own clients, which specify the request's id and attributes in every command. */
    public static MetaProtocol platform() {
        return PlatformMetaProtocol.INSTANCE;
    }

    /**
     * Parses a command line and calls exactly one method of the handler.
     *
     * @throws MetaCodec.SyntaxException if the length of a value is invalid, so that the start of the next command is
     *     unknown
     */
    abstract void parse(String line, MetaCommandHandler handler) throws MetaCodec.SyntaxException;

    /** The response, with its line end, to a line that does not begin as a command of the grammar. */
    abstract String unknownCommandLine();

    /**
     * The flags that the response to a write repeats.
     *
     * @param standardEcho the echo of the connection's last write in the standard grammar
     */
    abstract String writeEcho(ClientRequest request, String standardEcho);

    /** The line, with its end, that confirms a write; the receipt is null if the server gave none. */
    abstract String storedLine(String echo, String receipt);

    /** The line, with its end, for a key that no server has. */
    abstract String missLine(String echo);

    /** Returns whether the line is an {@code ms} command. */
    static boolean isWrite(String line) {
        return line.startsWith("ms ");
    }

    /** Returns whether the line is an {@code mg} command. */
    static boolean isRead(String line) {
        return line.startsWith("mg ");
    }

    /** Returns whether the key is neither empty nor too long. */
    static boolean isValidKey(String key) {
        return !key.isEmpty() && key.length() <= MAX_KEY_LENGTH;
    }
}
