package cacheproxy.proxy.client;

import cacheproxy.proxy.upstream.EventLoopContext;
import io.netty.channel.ChannelHandlerContext;
import java.util.ArrayDeque;
import java.util.List;

/**
 * The responses that a client connection has yet to send, in the order of the requests. Only the first one is written.
 */
final class ResponseQueue {
    private final ArrayDeque<PendingResponse> pending = new ArrayDeque<>();

    /** Adds the response to the command received last. */
    void add(PendingResponse response) {
        pending.add(response);
    }

    boolean isEmpty() {
        return pending.isEmpty();
    }

    /** Returns whether this response is the one that is written next. */
    boolean isFirst(PendingResponse response) {
        return pending.peek() == response;
    }

    /** The number of responses that are not fully written. */
    int size() {
        return pending.size();
    }

    /** Returns whether there is a response of which no part is known yet. */
    boolean hasUnanswered() {
        for (PendingResponse response : pending) {
            if (response.isUnanswered()) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether the client is being sent a value that may still break off, which ends the connection. */
    boolean isValueAtRisk() {
        return !pending.isEmpty() && pending.peek().isValueAtRisk();
    }

    /**
     * Reports a violation for each request that a close of the connection leaves unanswered. If the close only shows
     * that the first response is incomplete, all others are owed, including those that are complete and wait for it.
     */
    void checkAnswered(CloseCause cause) {
        for (PendingResponse response : pending) {
            boolean waits = cause == CloseCause.RESPONSE_ABORTED && response != pending.peek();
            if (waits || response.isUnanswered()) {
                response.recordUnansweredClose(cause);
            }
        }
    }

    /**
     * Writes the responses that are ready, in the order of the requests and without flushing; returns whether anything
     * was written.
     */
    boolean writeReady(ChannelHandlerContext ctx, ConnectionCloser closer) {
        boolean wrote = false;
        PendingResponse first;
        while (!closer.isFinished() && (first = pending.peek()) != null) {
            boolean complete = first.isComplete();
            if (complete) {
                pending.poll();
                first.releaseCommand();
            }
            wrote |= first.writeReady(ctx);
            if (!complete) {
                break;
            }
        }
        return wrote;
    }

    /**
     * Pauses the sources of all responses but the first, whose source continues while the client reads what is written.
     * That may complete the first response and remove it and others, so it must come last.
     */
    void updateFlowControl(ChannelHandlerContext ctx) {
        PendingResponse first = pending.peek();
        for (PendingResponse response : pending) {
            if (response != first) {
                response.pauseValue();
            }
        }
        if (first != null) {
            first.updateFlowControl(ctx);
        }
    }

    /** Cancels the long values of which nothing has been written. */
    void cancelHeldValues() {
        for (PendingResponse response : List.copyOf(pending)) { // a cancelled value may complete and remove responses
            response.cancelHeldValue();
        }
    }

    /** Handles the close of the connection: releases all responses and notifies the handlers of their requests. */
    void close(EventLoopContext loopContext) {
        PendingResponse response;
        while ((response = pending.poll()) != null) {
            response.clientDisconnected(loopContext);
        }
    }
}
