package cacheproxy.proxy.client;

import cacheproxy.proxy.upstream.EventLoopContext;
import io.netty.channel.ChannelHandlerContext;
import java.util.ArrayDeque;

/** The responses that a client connection owes, in the order of the requests. Only the first one is written. */
final class ResponseQueue {
    private final ArrayDeque<PendingResponse> pending = new ArrayDeque<>();

    /** Adds the response to the command received last. */
    void add(PendingResponse response) {
        pending.add(response);
    }

    boolean isEmpty() {
        return pending.isEmpty();
    }

    /** The number of responses that are not fully written. */
    int size() {
        return pending.size();
    }

    /** Whether the client has got nothing yet of some response. */
    boolean hasUnanswered() {
        for (PendingResponse response : pending) {
            if (response.isUnanswered()) {
                return true;
            }
        }
        return false;
    }

    /** Reports a violation for each request that a close of the connection leaves unanswered. */
    void checkAnswered(CloseCause cause) {
        for (PendingResponse response : pending) {
            if (response.isUnanswered()) {
                response.recordUnansweredClose(cause);
            }
        }
    }

    /** Writes, without flushing, what is ready in the order of the requests; returns whether there was any. */
    boolean writeReady(ChannelHandlerContext ctx, ConnectionCloser closer) {
        boolean wrote = false;
        PendingResponse first;
        while (!closer.isFinished() && (first = pending.peek()) != null) {
            wrote |= first.writeReady(ctx);
            if (!first.isComplete()) {
                break;
            }
            pending.poll();
        }
        return wrote;
    }

    /** Lets the first response's source go on while the client takes what is written, and pauses all others. */
    void updateFlowControl(ChannelHandlerContext ctx) {
        for (PendingResponse response : pending) {
            response.updateFlowControl(response == pending.peek(), ctx);
        }
    }

    /** The connection is closed: releases all responses and tells the handlers of their requests. */
    void close(EventLoopContext loopContext) {
        PendingResponse response;
        while ((response = pending.poll()) != null) {
            response.clientDisconnected(loopContext);
        }
    }
}
