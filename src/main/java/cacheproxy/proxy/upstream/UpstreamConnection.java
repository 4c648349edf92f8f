package cacheproxy.proxy.upstream;

import cacheproxy.eventlog.ProxyEvent;
import cacheproxy.policy.AttemptOutcome;
import cacheproxy.proxy.request.Responder;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.net.SocketAddress;
import java.util.ArrayDeque;

/**
 * One connection to a server with the attempts on it, in the order in which their answers come. How an attempt ends
 * when the connection does hangs on whether its last byte was written: only then may it have run.
 */
public final class UpstreamConnection implements Responder.ValueSource {
    /** Turns an attempt into the server's protocol and its answers into calls of the methods below. */
    interface Codec {
        /** Writes without flushing; the future ends when the last byte is written. */
        ChannelFuture write(Channel channel, Attempt attempt, SocketAddress dial);

        /** A long answer may go on, of which the codec holds what is still to come. */
        default void resume() {}

        /** The connection is to end: what the codec still holds is of no use. */
        default void drop() {}
    }

    /** A server pauses for 0.1 s at most within an answer; one that stops for this long will not go on. */
    private static final double STALLED_MS = 3000;

    /** How many short answers a long one stands for in the choice of a connection. */
    private static final int LONG = 1000;

    /** Three times the longest pause: a short answer that has stopped for this long has been cut off. */
    public static final double CUT_MS = 300;

    private final Upstream upstream;
    private final ArrayDeque<Attempt> attempts = new ArrayDeque<>(4);
    private Codec codec;
    private Channel channel;
    private SocketAddress dial;
    private boolean connected;
    private boolean closed;
    private boolean closedByUs;
    private boolean retired;
    private boolean held;
    private int givenUp;
    /** Attempts that have not begun; they stand behind those that have. */
    private int waiting;

    private double idleSinceMs;
    private double progressMs;
    private boolean begun;
    private boolean partial;
    private boolean watched;
    private boolean reading;
    private boolean flushing;
    /** Whether the server has answered on it, and whether otherwise than by busy. */
    private boolean answered;

    private boolean taken;
    private final Runnable flush = this::flush;

    UpstreamConnection(Upstream upstream) {
        this.upstream = upstream;
        idleSinceMs = upstream.core().now();
    }

    EventLoopContext core() {
        return upstream.core();
    }

    void use(Codec by) {
        codec = by;
    }

    void opening(ChannelFuture future, SocketAddress to) {
        channel = future.channel();
        dial = to;
        future.addListener(f -> {
            upstream.core().servers.opened(upstream, f.cause());
            if (upstream.core().events.isEnabled()) {
                upstream.core()
                        .events
                        .line(ProxyEvent.SERVER_CONNECTED)
                        .with("server", name())
                        .with("queued", attempts.size())
                        .with(
                                "cause",
                                f.isSuccess() ? "ok" : f.cause().getClass().getSimpleName())
                        .write();
            }
            if (!f.isSuccess()) {
                // No handler is told of a channel that never became active: without this its attempts would stay
                // out until they time out as if they might have run, and it would hold a place for good.
                closed();
                return;
            }
            connected = true;
            if (attempts.isEmpty()) {
                idleSinceMs = upstream.core().now();
            }
            writeWaiting();
        });
    }

    boolean connected() {
        return connected;
    }

    /** Attempts on it. Behind a long answer one waits for a client to take it, which may last for seconds. */
    int depth() {
        return begun ? attempts.size() + LONG : attempts.size();
    }

    /** Whether a long answer is on its way. */
    boolean onLong() {
        return begun;
    }

    boolean empty() {
        return attempts.isEmpty();
    }

    boolean ending() {
        return retired && connected && attempts.isEmpty();
    }

    /** Whether its server has answered on it. */
    boolean used() {
        return answered;
    }

    double idleSinceMs() {
        return idleSinceMs;
    }

    boolean usable(int maxDepth) {
        return !closed
                && !retired
                && attempts.size() < maxDepth
                && (!connected || (channel.isActive() && channel.isWritable()));
    }

    void send(Attempt attempt) {
        attempt.assignTo(this);
        attempts.add(attempt);
        waiting++;
        writeWaiting();
    }

    /**
     * Begins those that wait, in their order, for as long as the connection takes more: what is told of the time that
     * is left holds for what goes out soon, not for what would stand behind a long value. What may not begin any more
     * ends here.
     */
    private void writeWaiting() {
        while (waiting > 0 && connected && !reading && !closed && channel.isActive() && channel.isWritable()) {
            Attempt next = firstWaiting();
            if (next.mayBegin()) {
                waiting--;
                write(next);
            } else {
                withdraw(next);
            }
        }
    }

    private Attempt firstWaiting() {
        if (waiting == 1 && !attempts.peekLast().hasBegun()) {
            return attempts.peekLast();
        }
        for (Attempt a : attempts) {
            if (!a.hasBegun()) {
                return a;
            }
        }
        throw new IllegalStateException("none of " + attempts.size() + " attempts waits");
    }

    private boolean withdraw(Attempt attempt) {
        boolean there = attempts.remove(attempt);
        if (there) {
            waiting--;
        }
        return there;
    }

    /** The channel takes more again, or no more for now. */
    void writabilityChanged() {
        writeWaiting();
    }

    /** Since when its server is known to drain or to be gone; infinite: it is ready. */
    public double serverLeftMs() {
        return upstream.leftMs;
    }

    /** Attempts that wait for it or for their response on it. */
    public int queueLength() {
        return attempts.size();
    }

    /** How its server is named in the event log: its id and address. */
    public String name() {
        return Integer.toHexString(upstream.id) + "@" + dial;
    }

    private void write(Attempt attempt) {
        attempt.markBegun();
        attempt.onBegin();
        codec.write(channel, attempt, dial).addListener(f -> {
            if (f.isSuccess()) {
                attempt.markWritten();
            }
        });
        if (!flushing) {
            flushing = true;
            upstream.core().flushLater(flush);
        }
    }

    private void flush() {
        flushing = false;
        channel.flush();
    }

    public boolean giveUp(Attempt attempt) {
        if (!attempt.hasBegun()) {
            return withdraw(attempt);
        }
        if (attempts.contains(attempt)
                && ++givenUp == attempts.size()
                && (retired || upstream.core().mayClose(attempt.hedgingAllowed()))) {
            close(); // a retired one takes no more attempts, so that keeping it would save none a new connection
        }
        return false;
    }

    void retire() {
        retired = true;
    }

    @Override
    public void setPaused(boolean on) {
        if (held != on) {
            held = on;
            progressMs = upstream.core().now();
            channel.config().setAutoRead(!on);
            if (!on) {
                codec.resume();
            }
        }
    }

    /** Whether input is taken; what has been asked for since the last answer waits with the system else. */
    void read(boolean on) {
        progressMs = upstream.core().now();
        partial = on;
        if (on) {
            partial();
        }
        channel.config().setAutoRead(on && !held);
    }

    boolean held() {
        return held;
    }

    void sweep(double now) {
        Attempt head = attempts.peek();
        boolean silent = connected && head != null && head.hasEnded() && now - head.timeoutAtMs() > STALLED_MS;
        if (silent || (begun && !held && now - progressMs > STALLED_MS)) {
            close();
        }
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
    void close() {
        closedByUs = true;
        retired = true;
        if (channel != null) {
            channel.close();
        }
        if (codec != null) {
            codec.drop();
        }
    }

    // ---- what the codec has read

    /**
     * Whether input is being read. What is to go out meanwhile waits for the end of that: more than belongs to an
     * answer, right behind it, would pass for the answer of the next attempt, and the origin's bear no id.
     */
    void reading(boolean on) {
        reading = on;
        writeWaiting();
    }

    /** The attempt whose answer comes next; null if none is out, so that what comes is not the protocol's. */
    Attempt head() {
        Attempt head = attempts.peek();
        return head == null || head.hasBegun() ? head : null;
    }

    /** A short answer or a long one's end has come whole. */
    void ended(AttemptOutcome outcome, int note, float[] report, ByteBuf value, String receipt) {
        Attempt attempt = attempts.poll();
        begun = false;
        partial = false;
        answered = true;
        if (!taken && outcome != AttemptOutcome.FULL) {
            taken = true;
            upstream.room(true);
        }
        if (attempt.hasEnded()) {
            givenUp--;
        }
        if (attempts.isEmpty()) {
            idleSinceMs = upstream.core().now();
        }
        setPaused(false);
        attempt.onEnd(outcome, note, report, value, receipt);
        if (attempts.isEmpty() && retired) {
            close();
        }
    }

    void partial() {
        partial = true;
        progressMs = upstream.core().now();
        if (!watched) {
            watched = true;
            watch(CUT_MS);
        }
    }

    private void watch(double ms) {
        upstream.core().after(ms, () -> {
            double left = CUT_MS - (upstream.core().now() - progressMs);
            watched = partial && !closed && left > 0;
            if (watched) {
                watch(left);
            } else if (partial && !closed) {
                close();
            }
        });
    }

    /** A long answer begins; false if nobody waits for it, so that it is to be dropped. */
    boolean begin(int length) {
        begun = true;
        // Its head may have come in pieces. The short answers' patience would cut it at the first pause.
        partial = false;
        progressMs = upstream.core().now();
        Attempt attempt = attempts.peek();
        return attempt.onValueBegin(length);
    }

    void part(ByteBuf part) {
        progressMs = upstream.core().now();
        Attempt attempt = attempts.peek();
        attempt.onValuePart(part);
    }

    void garbage(String what) {
        upstream.core().log("bad answer of " + dial + ": " + what);
        close();
    }

    /** The connection never came up or has ended. */
    void closed() {
        if (closed) {
            return;
        }
        closed = true;
        // Busy, and closed without ever having served: it had no room for the connection, whatever its queue.
        if (answered && !taken && !retired) {
            upstream.room(false);
        }
        upstream.closed(this);
        if (upstream.core().events.isEnabled()) {
            upstream.core()
                    .events
                    .line(ProxyEvent.SERVER_DISCONNECTED)
                    .with("server", name())
                    .with("by", closedByUs ? "proxy" : "server")
                    .with("connected", connected)
                    .with("retired", retired)
                    .with("out", attempts.size())
                    .write();
        }
        waiting = 0;
        for (Attempt a; (a = attempts.poll()) != null; ) {
            if (!a.hasBegun() && !a.hasEnded() && (connected ? upstream.send(a) : upstream.sendElsewhere(a))) {
                continue;
            }
            AttemptOutcome outcome = a.isWritten() ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED;
            a.onEnd(outcome);
        }
    }
}
