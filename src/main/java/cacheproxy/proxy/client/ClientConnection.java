package cacheproxy.proxy.client;

import cacheproxy.eventlog.ProxyEvent;
import cacheproxy.invariant.Invariant;
import cacheproxy.limits.ConnectionEviction;
import cacheproxy.proxy.request.ClientRequest;
import cacheproxy.proxy.request.MetaCodec;
import cacheproxy.proxy.request.RequestHandler;
import cacheproxy.proxy.request.Responder;
import cacheproxy.proxy.upstream.EventLoopContext;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A client that speaks the meta commands: reads its requests, hands them in, and writes their answers in the order of
 * the requests.
 */
public final class ClientConnection extends ByteToMessageDecoder {
    /** Commands in hand on one connection; guards memory against a client that only writes. */
    private static final int MAX_PIPELINED = 32;

    private static final long LINGER_MS = 300;
    /** What a client's system may take to say that it has an answer: several trips, and a delayed word of it. */
    private static final double ACKNOWLEDGED_MS = 100;

    private static final double STALLED_MS = 10_000;
    /** A client asks as soon as it has connected; one that has not by then is owed a close within 3 s. */
    private static final double SILENT_MS = 2000;
    /**
     * One that has begun may take 2 s to write its first command; one that stops in the middle of any is owed a close
     * within 3 s.
     */
    private static final double SLOW_MS = 2600;
    /** What a connection that has been taken may need to bring its first command on a busy machine. */
    private static final double FIRST_MS = 500;

    /** The cause of an end where the system told of an error on the connection. */
    private static final String RESET = "reset";

    private final EventLoopContext core;
    private final Front front;
    private final double closingPosition;
    private final ArrayDeque<Slot> slots = new ArrayDeque<>();
    /** Those of the commands that have come whole and are yet to be handed in; no more than there are slots. */
    private final ArrayDeque<Slot> fresh = new ArrayDeque<>(2);

    private final Runnable handIn = this::handIn;
    private boolean handing;
    private ChannelHandlerContext ctx;
    /** The write whose value is being read, with the bytes still to come; the value is null if there's no room. */
    private ClientRequest incoming;

    private int missing;
    private int reserved;
    /** Whether the value that is being read belongs to no command that could be carried out. */
    private boolean refused;

    private String openEcho;
    private String openFault;
    private boolean closing;
    private boolean finished;
    private boolean flushing;
    /** Why this side closed it; null where it did not. */
    private String closeCause;

    private final Runnable flush = this::flush;
    private boolean readPaused;
    /** Since when what was read last may have waited unread. */
    private double unreadSinceMs;
    /**
     * Since when what stands unread at the beginning, or after a pause in reading, may have waited, and in which turn
     * of the loop that ended.
     */
    private double heldSinceMs;

    private long heldUntilTurn;
    /** Whether a whole command has come. */
    private boolean asked;

    private double acceptedMs;
    private double activeMs;
    private double wroteMs = Double.NEGATIVE_INFINITY;

    /** What a connection belongs to. */
    public interface Front {
        RequestHandler handler();

        /** Whether this connection is to end between requests. */
        boolean closesWhenIdle(ClientConnection client);

        /** Whether clients that ask are told to come. */
        boolean acceptsClients();

        /** Since when a connection that is accepted now may have waited for that. */
        double queuedSinceMs();

        /** Nothing is open on one any more. */
        void connectionIdle(ClientConnection client);

        void connectionClosed(ClientConnection client);

        /** What plain commands of stock clients are given; null where commands must be the platform's. */
        StandardMetaProtocol standardProtocol();
    }

    /** @param place from 0 to under 1, by which connections that are to end are spread */
    public ClientConnection(EventLoopContext core, Front front, double place) {
        this.core = core;
        this.front = front;
        this.closingPosition = place;
    }

    double closingPosition() {
        return closingPosition;
    }

    /** Whether it has asked something, or has had the time to. */
    boolean hasHadTimeToAsk(double now) {
        return asked || now - acceptedMs > FIRST_MS;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        ctx = context;
        heldSinceMs = front.queuedSinceMs();
        heldUntilTurn = core.turn();
        unreadSinceMs = heldSinceMs;
        acceptedMs = core.now();
        activeMs = acceptedMs;
    }

    /** Between requests: nothing owed and nothing begun. */
    boolean isIdle() {
        return slots.isEmpty() && incoming == null && actualReadableBytes() == 0;
    }

    /** How soon this one is to make room for another; negative: not at all. */
    double evictionRank(double now) {
        return finished
                ? -1
                : ConnectionEviction.rank(isIdle(), asked, !slots.isEmpty() || unwritten(), now - activeMs);
    }

    private boolean unwritten() {
        ChannelOutboundBuffer out = ctx.channel().unsafe().outboundBuffer();
        return out != null && out.totalPendingWriteBytes() > 0;
    }

    /**
     * Whether a command has been begun and not been gone on with for long, or an answer not been taken, or none has
     * come whole since the connection did: those that connect and say nothing would take the descriptors of those that
     * ask. One that waits for its answer is not stalled, as long as that may take.
     */
    boolean isStalled(double now) {
        return (now - activeMs > STALLED_MS && (finished || unwritten()))
                || (now - activeMs > SLOW_MS && midway())
                || (!asked && now - acceptedMs > (isIdle() ? SILENT_MS : SLOW_MS));
    }

    /** Ends one that is stalled; what it has asked whole before is answered first. */
    void closeStalled() {
        if (slots.stream().anyMatch(Slot::owed)) {
            stopTakingRequests();
        } else {
            close("stalled");
        }
    }

    /** Whether a command has begun and is not whole. */
    private boolean midway() {
        return incoming != null || (actualReadableBytes() > 0 && !readPaused);
    }

    /** Whether it lingers: our side has ended it, and its client has not yet. */
    boolean isLingering() {
        return finished;
    }

    /**
     * Ends it for another's sake. Where its client may not have the last answer yet, a close over what it has asked
     * since, and that nobody has read, would be a reset that takes the answer with it.
     *
     * @return whether its descriptor is free at once; else it is when it has lingered
     */
    boolean evict(double now) {
        if (now - wroteMs < ACKNOWLEDGED_MS) {
            finish();
            return false;
        }
        close("makes_room");
        return true;
    }

    /** Whatever comes from now on is not taken; it ends once all that was has its answer. */
    void stopTakingRequests() {
        closing = true;
        flushAnswers();
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
    void close(String cause) {
        checkOwed(cause);
        closeCause = cause;
        ctx.flush(); // an answer that is written and not flushed would be lost
        ctx.close();
    }

    /** A close of our own owes nothing, but to a client that does not take the answer that has begun. */
    private void checkOwed(String cause) {
        for (Slot slot : slots) {
            if (slot.owed()) {
                core.invariants.recordViolation(
                        Invariant.CLOSE_OWES_NOTHING, slot.echo.trim(), "its connection is closed, " + cause);
            }
        }
    }

    private void flush() {
        flushing = false;
        ctx.flush();
    }

    /** Whether this side ended it first; a reset is the client's. */
    private boolean closedByUs() {
        return finished || (closeCause != null && !RESET.equals(closeCause));
    }

    // ---- commands

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (message != Unpooled.EMPTY_BUFFER) { // that one stands for what was read before a pause
            unreadSinceMs = core.unreadSinceMs();
            if (core.follows(heldUntilTurn)) {
                unreadSinceMs = Math.min(unreadSinceMs, heldSinceMs);
            }
        }
        super.channelRead(context, message);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        activeMs = core.now();
        if (closing) {
            in.skipBytes(in.readableBytes());
            return;
        }
        if (slots.size() >= MAX_PIPELINED || !ctx.channel().isWritable()) {
            pauseReading();
            return;
        }
        try {
            if (incoming != null) {
                value(in);
            } else {
                String line = MetaCodec.readLine(in);
                if (line != null) {
                    command(line);
                }
            }
        } catch (MetaCodec.SyntaxException e) {
            say("CLIENT_ERROR " + e.getMessage() + "\r\n");
            closing = true;
            flushAnswers();
        }
    }

    /** Not the decoder's own, which reads on where it has fired no message, also while reading is paused. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        discardSomeReadBytes();
        context.fireChannelReadComplete();
    }

    private void command(String line) throws MetaCodec.SyntaxException {
        if (line.equals("mn")) {
            say(front.acceptsClients() ? "MN\r\n" : "SERVER_ERROR standby\r\n");
            return;
        }
        if (front.standardProtocol() != null) {
            openCommand(line);
            return;
        }
        boolean write = line.startsWith("ms ");
        if (!write && !line.startsWith("mg ")) {
            say("ERROR\r\n");
            return;
        }
        String key = MetaCodec.tokenAt(line, 3);
        int flags = 3 + key.length() + 1;
        int length = 0;
        if (write) {
            String word = MetaCodec.tokenAt(line, flags);
            length = MetaCodec.parseLength(word);
            flags += word.length() + 1;
        }
        String id = MetaCodec.flag(line, flags, 'O');
        String extras = MetaCodec.flag(line, flags, 'P');
        // A byte that is no printing ASCII could not go on unchanged, and in a header of the origin's not at all.
        boolean bad = key.isEmpty()
                || key.length() > 250
                || id == null
                || id.isEmpty()
                || extras == null
                || !MetaCodec.isPrintable(line);
        if (bad && !write) {
            say("CLIENT_ERROR bad command line format\r\n");
            return;
        }
        ClientRequest command = bad ? null : command(line, key, id, extras, flags, write);
        if (write) {
            awaitValue(command, id, length);
        } else {
            hand(command, " O" + id, true);
        }
    }

    /** A stock client's command: it needs neither id nor list, and gets an answer line whatever it asks. */
    private void openCommand(String line) throws MetaCodec.SyntaxException {
        StandardMetaProtocol.Parsed parsed = front.standardProtocol().parse(line);
        if (parsed.write()) {
            openEcho = parsed.echo();
            openFault = parsed.fault();
            awaitValue(parsed.command(), null, parsed.length());
        } else if (parsed.fault() != null) {
            say(parsed.fault() + "\r\n");
        } else {
            hand(parsed.command(), parsed.echo(), false);
        }
    }

    /** The value of a write comes next; of one that can't be carried out too, it is read and dropped. */
    private void awaitValue(ClientRequest command, String id, int length) {
        incoming = command != null ? command : new ClientRequest("", id, true, "", "", "");
        refused = command == null;
        missing = length + 2;
        if (command != null && core.reserve(missing)) {
            reserved = missing;
            command.setValue(ctx.alloc().buffer(Math.min(missing, 16 << 10), missing), missing);
        }
    }

    private static ClientRequest command(String line, String key, String id, String extras, int flags, boolean write) {
        int list = line.indexOf(" P", flags - 1) + 2;
        return new ClientRequest(
                key, id, write, extras, line.substring(0, list), line.substring(list + extras.length()));
    }

    private void value(ByteBuf in) throws MetaCodec.SyntaxException {
        int n = Math.min(missing, in.readableBytes());
        missing -= n;
        if (incoming.value == null) {
            in.skipBytes(n);
        } else {
            incoming.value.writeBytes(in, n);
        }
        if (missing > 0) {
            return;
        }
        ClientRequest command = incoming;
        incoming = null;
        if (command.value == null) {
            // No room for the value, or no request that could be made of it. Nothing was sent on.
            say(
                    !refused
                            ? MetaCodec.BUSY_PREFIX + "\r\n"
                            : openFault != null ? openFault + "\r\n" : "CLIENT_ERROR bad command line format\r\n");
            return;
        }
        int end = command.value.writerIndex();
        if (command.value.getByte(end - 2) != '\r' || command.value.getByte(end - 1) != '\n') {
            dropValue(command);
            throw new MetaCodec.SyntaxException("bad data chunk");
        }
        reserved = 0; // given back when the request is over
        boolean strict = front.standardProtocol() == null;
        hand(command, strict ? " O" + command.id : openEcho, strict);
    }

    /**
     * Has a whole command handed in once what is read now has been. Behind it may stand the client's end, and what a
     * client has asked that has left by then, perhaps long ago on a busy loop, is not to be sent on.
     */
    private void hand(ClientRequest command, String echo, boolean strict) {
        command.arrivedMs = unreadSinceMs;
        Slot slot = slot(echo, strict);
        slot.command = command;
        fresh.add(slot);
        if (!handing) {
            handing = true;
            ctx.executor().execute(handIn);
        }
    }

    private void handIn() {
        handing = false;
        // One that has ended is told so only later; what it leaves here goes then.
        for (Slot slot; ctx.channel().isActive() && (slot = fresh.poll()) != null; ) {
            ClientRequest command = slot.command;
            slot.command = null;
            try {
                RequestHandler.Handle handle = front.handler().submit(command, slot);
                if (!slot.whole) {
                    slot.handle = handle;
                }
            } catch (RuntimeException e) {
                exceptionCaught(ctx, e);
            }
        }
    }

    private Slot slot(String echo, boolean strict) {
        asked = true;
        Slot slot = new Slot(echo, strict);
        slots.add(slot);
        return slot;
    }

    private void dropValue(ClientRequest command) {
        if (command.value != null) {
            command.value.release();
            command.value = null;
        }
        core.giveBack(reserved);
        reserved = 0;
    }

    // ---- answers

    /** Answers a command by the proxy itself. */
    private void say(String text) {
        slot("", true).answer(MetaCodec.ascii(ctx.alloc(), text));
    }

    /** A command's place in the order of answers. */
    private final class Slot implements Responder {
        /** The flags that the client wants back. */
        private final String echo;
        /** Whether a write's receipt is told, which stock clients know nothing of. */
        private final boolean receipts;
        /** Null once it has been handed in. */
        private ClientRequest command;

        private RequestHandler.Handle handle;
        /** What is ready to go to the client, null once it has been handed on. */
        private ByteBuf answer;
        /** Whether all of the answer has come. */
        private boolean whole;
        /** Whether some of a long answer has come. */
        private boolean begun;
        /** Holds back the rest of a long answer. */
        private ValueSource source;

        private boolean streaming;

        Slot(String echo, boolean receipts) {
            this.echo = echo;
            this.receipts = receipts;
        }

        /** Whether its client has nothing of its answer yet. */
        private boolean owed() {
            return !whole && !begun;
        }

        private void answer(ByteBuf buf) {
            if (whole || begun) {
                core.invariants.recordViolation(Invariant.SINGLE_ANSWER, echo.trim(), "a second answer was dropped");
                buf.release();
                return;
            }
            answer = buf;
            whole = true;
            handle = null;
            flushAnswers();
        }

        private void say(String line) {
            answer(MetaCodec.ascii(ctx.alloc(), line));
        }

        @Override
        public void value(ByteBuf value) {
            int length = value.readableBytes();
            ByteBuf buf = ctx.alloc().buffer(24 + echo.length() + length);
            ByteBufUtil.writeAscii(buf, "VA ");
            MetaCodec.writeDecimal(buf, length);
            ByteBufUtil.writeAscii(buf, echo);
            buf.writeShort(MetaCodec.CRLF)
                    .writeBytes(value, value.readerIndex(), length)
                    .writeShort(MetaCodec.CRLF);
            value.release();
            answer(buf);
        }

        @Override
        public void stored(String receipt) {
            say("HD" + echo + (receipt == null || !receipts ? "" : " c" + receipt) + "\r\n");
        }

        @Override
        public void miss() {
            say("EN" + (receipts ? echo : "") + "\r\n");
        }

        @Override
        public void busy(double retryAfterMs) {
            say(MetaCodec.BUSY_PREFIX + (retryAfterMs >= 1 ? " " + Math.round(retryAfterMs) : "") + "\r\n");
        }

        @Override
        public void failed() {
            say(MetaCodec.FAILED_LINE);
        }

        @Override
        public void badRequest(String why) {
            say("CLIENT_ERROR " + why + "\r\n");
        }

        @Override
        public void beginValue(int length, ValueSource flow) {
            source = flow;
            begun = true;
            int most = core.streamOpened();
            streaming = true;
            ctx.channel().config().setWriteBufferWaterMark(new WriteBufferWaterMark(most / 2, most));
            valuePart(MetaCodec.ascii(ctx.alloc(), "VA " + length + echo + "\r\n"));
        }

        @Override
        public void valuePart(ByteBuf part) {
            if (finished) {
                part.release();
            } else if (answer == null) {
                answer = part;
            } else {
                CompositeByteBuf parts = answer instanceof CompositeByteBuf c
                        ? c
                        : ctx.alloc().compositeBuffer(64).addComponent(true, answer);
                answer = parts.addComponent(true, part);
            }
            flushAnswers();
        }

        @Override
        public void endValue() {
            ended();
            if (!finished) {
                valuePart(MetaCodec.ascii(ctx.alloc(), "\r\n"));
            }
            whole = true;
            handle = null;
            flushAnswers();
        }

        /** Only the connection's end tells the client that the value is not whole. */
        @Override
        public void abortValue() {
            ended();
            close("answer_cut");
        }

        private void ended() {
            source = null;
            if (streaming) {
                streaming = false;
                core.streamClosed();
            }
        }
    }

    @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
    private void flushAnswers() {
        boolean wrote = false;
        Slot head;
        while (!finished && (head = slots.peek()) != null) {
            if (head.answer != null) {
                ctx.write(head.answer);
                head.answer = null;
                wrote = true;
            }
            if (!head.whole) {
                break;
            }
            slots.poll();
        }
        if (wrote) {
            activeMs = wroteMs = core.now();
            if (closing || front.closesWhenIdle(this)) {
                ctx.flush();
            } else if (!flushing) {
                flushing = true;
                core.flushLater(flush);
            }
        }
        regulate();
        if (slots.isEmpty() && (closing || (front.closesWhenIdle(this) && isIdle()))) {
            finish();
        } else if (wrote && slots.isEmpty()) {
            front.connectionIdle(this);
        }
    }

    /** Lets the head's source go on only while the client takes what is written, and holds back all others. */
    private void regulate() {
        for (Slot e : slots) {
            if (e.source != null) {
                e.source.setPaused(e != slots.peek() || !ctx.channel().isWritable());
            }
        }
        if (readPaused && slots.size() < MAX_PIPELINED && ctx.channel().isWritable()) {
            readPaused = false;
            heldUntilTurn = core.turn();
            ctx.channel().config().setAutoRead(true);
            // What has been read already waits in the decoder; it is not told of the pause's end otherwise.
            ctx.executor().execute(() -> ctx.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER));
        }
    }

    private void pauseReading() {
        if (!readPaused) {
            heldSinceMs = core.now();
        }
        readPaused = true;
        ctx.channel().config().setAutoRead(false);
    }

    /**
     * Ends the connection from our side and waits for the client to do so: closing with unread input would send a
     * reset, which could overtake the last answer.
     */
    @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
    void finish() {
        if (finished) {
            return;
        }
        checkOwed("finished");
        finished = true;
        closing = true;
        ctx.flush();
        ctx.channel().config().setAutoRead(true);
        ((DuplexChannel) ctx.channel()).shutdownOutput();
        ctx.executor().schedule(() -> close("lingered"), LINGER_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        activeMs = core.now();
        regulate();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        if (core.events.isEnabled()) {
            core.events
                    .line(ProxyEvent.CLIENT_CLOSED)
                    .with("client", ctx.channel().remoteAddress())
                    .with("by", closedByUs() ? "proxy" : "client")
                    .with("cause", closeCause == null ? "end" : closeCause)
                    .with("owed", slots.size())
                    .with("unread", actualReadableBytes())
                    .write();
        }
        closing = true;
        finished = true;
        super.channelInactive(context);
        if (incoming != null) {
            dropValue(incoming);
            incoming = null;
        }
        fresh.clear();
        for (Slot e; (e = slots.poll()) != null; ) {
            if (e.command != null) {
                e.command.release(core);
                e.command = null;
            }
            if (e.answer != null) {
                e.answer.release();
                e.answer = null;
            }
            if (e.source != null) {
                e.source.setPaused(false);
                e.ended();
            }
            if (e.handle != null) {
                e.handle.clientDisconnected();
            }
        }
        front.connectionClosed(this);
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        closeCause = cause instanceof IOException ? RESET : cause.getClass().getSimpleName();
        ctx.close();
    }
}
