package cacheproxy.proxy.client;

import cacheproxy.proxy.memory.MemoryAccount;
import cacheproxy.proxy.memory.MemoryPurpose;
import io.netty.channel.ChannelHandlerContext;
import java.util.ArrayDeque;

/**
 * Submits the complete requests of one connection to the owner's handler, once all bytes that are read now have been
 * decoded. The client's close may follow a request in the input, and the request of a client that has disconnected in
 * the meantime, perhaps long ago if the event loop is busy, must not be sent to a server.
 *
 * <p>A request whose response would wait behind others is submitted only if there is memory for that response. Until
 * then it waits, together with those after it; it is submitted in any case once its response is the first. Used on the
 * event loop only.
 */
final class RequestSubmitter {
    private final ClientConnection connection;
    private final ConnectionOwner owner;
    private final MemoryAccount account;
    /** The responses whose requests are complete and not submitted yet. */
    private final ArrayDeque<PendingResponse> unsubmitted = new ArrayDeque<>(2);

    private final Runnable submitRequests = this::submitRequests;
    private final MemoryAccount.Waiter onMemoryAvailable = this::onMemoryAvailable;
    private boolean scheduled;
    /** Whether the account calls {@link #onMemoryAvailable} when other connections have released memory. */
    private boolean awaitsMemory;

    RequestSubmitter(ClientConnection connection, ConnectionOwner owner) {
        this.connection = connection;
        this.owner = owner;
        account = connection.loopContext().memory();
    }

    /** Submits the request of this response later in this turn of the event loop, or in the next. */
    void submitLater(PendingResponse response) {
        unsubmitted.add(response);
        schedule();
    }

    /** Tries again to submit requests that wait, as the connection has written responses or released memory. */
    void resume() {
        if (!unsubmitted.isEmpty()) {
            schedule();
        }
    }

    private void schedule() {
        if (!scheduled) {
            scheduled = true;
            connection.context().executor().execute(submitRequests);
        }
    }

    private void submitRequests() {
        scheduled = false;
        if (!submitAllowed() && !awaitsMemory && connection.admission().mayQueueResponses()) {
            awaitsMemory = true;
            account.await(MemoryPurpose.QUEUED_RESPONSE, onMemoryAvailable);
        }
    }

    /** Returns whether the connection no longer waits for the account; it may still wait for its own client. */
    private boolean onMemoryAvailable() {
        awaitsMemory = !submitAllowed() && connection.admission().mayQueueResponses();
        return !awaitsMemory;
    }

    /** Submits requests until one has to wait; returns whether none has to. */
    private boolean submitAllowed() {
        ChannelHandlerContext context = connection.context();
        // If the channel is no longer active, channelInactive is called later and releases the requests that are left
        // here.
        PendingResponse response;
        while (context.channel().isActive() && (response = unsubmitted.peek()) != null) {
            if (!connection.admission().mayForward(response)) {
                return false;
            }
            unsubmitted.remove();
            submit(response, context);
        }
        return true;
    }

    private void submit(PendingResponse response, ChannelHandlerContext context) {
        try {
            response.submit(owner.handler());
        } catch (RuntimeException | Error e) {
            connection.exceptionCaught(context, e);
        }
    }

    /** Rejects the requests that are not submitted, as no response will make room for them any more. */
    void rejectWaiting() {
        for (PendingResponse response; (response = unsubmitted.poll()) != null; ) {
            response.reject();
        }
    }

    /** Discards the requests that are not submitted; the connection releases them with its other responses. */
    void clear() {
        unsubmitted.clear();
        if (awaitsMemory) {
            awaitsMemory = false;
            account.cancelWait(MemoryPurpose.QUEUED_RESPONSE, onMemoryAvailable);
        }
    }
}
