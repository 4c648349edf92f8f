package cacheproxy.proxy.client;

import cacheproxy.proxy.request.ClientRequest;
import cacheproxy.proxy.request.MetaCodec;
import cacheproxy.proxy.upstream.EventLoopContext;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

/**
 * Decodes the commands of one client connection. The value of a write is read into a buffer if the memory limit on
 * clients' values allows it, and skipped otherwise.
 */
final class RequestDecoder implements MetaCommandHandler {
    /** The length of the line end after a value. */
    private static final int CRLF_BYTES = 2;
    /** The first character of all commands that a client can use. */
    private static final byte META_COMMAND_START = 'm';
    /** The maximum initial size of a value's buffer, which grows as the value arrives. */
    private static final int MAX_INITIAL_BUFFER_BYTES = 16 << 10;

    private final EventLoopContext loopContext;
    private final ConnectionOwner owner;
    private final Output output;

    /**
     * The grammar of the command that is being read. It stays in use for that command if a reload replaces the owner's
     * grammar.
     */
    private MetaProtocol protocol;

    private boolean readingValue;
    /** The write whose value is being read; null if it can't be carried out. */
    private ClientRequest write;
    /** The number of bytes of the value, with its line end, that have not arrived yet. */
    private int missingBytes;
    /** The echo of the last write in the standard grammar. */
    private String standardEcho;
    /** The response to the last write in the standard grammar if that write can't be carried out; null otherwise. */
    private String standardErrorLine;

    /** Receives the decoded commands. */
    interface Output {
        /** Handles a complete request. */
        void request(ClientRequest request, MetaProtocol protocol, String echo);

        /**
         * Responds to a command with this line, including its line end, from the proxy itself.
         *
         * @param valid false if the line reports an error of the command
         */
        void respond(String responseLine, boolean valid);
    }

    RequestDecoder(EventLoopContext loopContext, ConnectionOwner owner, Output output) {
        this.loopContext = loopContext;
        this.owner = owner;
        this.output = output;
    }

    /** Returns whether the value of a write is being read. */
    boolean isReadingValue() {
        return readingValue;
    }

    /**
     * Decodes at most one command line or a part of one value.
     *
     * @throws MetaCodec.SyntaxException if the start of the next command is unknown
     */
    void decode(ByteBuf input, ByteBufAllocator allocator) throws MetaCodec.SyntaxException {
        if (readingValue) {
            readValue(input);
            return;
        }
        protocol = owner.protocol();
        if (input.getByte(input.readerIndex()) != META_COMMAND_START) {
            if (MetaCodec.skipLine(input)) {
                output.respond(protocol.unknownCommandLine(), false);
            }
            return;
        }
        String line = MetaCodec.readLine(input);
        if (line == null) {
            return;
        }
        if (line.equals("mn")) {
            output.respond(owner.acceptsClients() ? "MN\r\n" : "SERVER_ERROR standby\r\n", true);
            return;
        }
        protocol.parse(line, this);
        if (readingValue && write != null) {
            reserveValue(allocator);
        }
    }

    @Override
    public void onRead(ClientRequest request, String echo) {
        output.request(request, protocol, echo);
    }

    @Override
    public void onWrite(ClientRequest request, int valueBytes) {
        beginWrite(request, valueBytes, null, null);
    }

    private void beginWrite(ClientRequest request, int valueBytes, String echo, String errorLine) {
        standardEcho = echo;
        standardErrorLine = errorLine;
        readingValue = true;
        write = request;
        missingBytes = valueBytes + CRLF_BYTES;
    }

    @Override
    public void onStandardWrite(ClientRequest request, int valueBytes, String echo, String errorLine) {
        beginWrite(request, valueBytes, echo, errorLine);
    }

    @Override
    public void onInvalid(String errorLine) {
        output.respond(errorLine + "\r\n", false);
    }

    private void reserveValue(ByteBufAllocator allocator) {
        if (loopContext.reserve(missingBytes)) {
            write.setValue(
                    allocator.buffer(Math.min(missingBytes, MAX_INITIAL_BUFFER_BYTES), missingBytes), missingBytes);
        }
    }

    private void readValue(ByteBuf input) throws MetaCodec.SyntaxException {
        int bytes = Math.min(missingBytes, input.readableBytes());
        missingBytes -= bytes;
        if (write == null || write.value() == null) {
            input.skipBytes(bytes);
        } else {
            write.value().writeBytes(input, bytes);
        }
        if (missingBytes == 0) {
            completeWrite();
        }
    }

    private void completeWrite() throws MetaCodec.SyntaxException {
        ClientRequest request = write;
        readingValue = false;
        write = null;
        if (request == null) {
            onInvalid(standardErrorLine != null ? standardErrorLine : PlatformMetaProtocol.BAD_COMMAND_LINE);
            return;
        }
        if (request.value() == null) {
            output.respond(MetaCodec.BUSY_PREFIX + "\r\n", true);
            return;
        }
        if (!endsWithCrlf(request.value())) {
            request.release(loopContext);
            throw new MetaCodec.SyntaxException("bad data chunk");
        }
        output.request(request, protocol, protocol.writeEcho(request, standardEcho));
    }

    private static boolean endsWithCrlf(ByteBuf value) {
        return value.getShort(value.writerIndex() - CRLF_BYTES) == MetaCodec.CRLF;
    }

    /** Handles the close of the connection: releases the value that is being read. */
    void close() {
        if (write != null) {
            write.release(loopContext);
            write = null;
        }
        readingValue = false;
    }
}
