package cacheproxy.proxy.client;

import cacheproxy.proxy.memory.MemoryAccount;
import cacheproxy.proxy.memory.MemoryPurpose;
import cacheproxy.proxy.net.TurnScheduler;
import io.netty.channel.ChannelHandlerContext;
import java.util.ArrayDeque;

/**
 * Submits the complete requests of one connection to the owner's handler, once all bytes that are read now have been
 * decoded. The client's close may follow a request in the input, and the request of a client that has disconnected in
 * the meantime, perhaps long ago if the event loop is busy, must not be sent to a server.
 *
 * <p>A request whose response would wait behind others is submitted only if there is memory for that response. Until
 * then it waits, together with those after it; it is submitted in any case once its response is the first. The requests
 * of all connections are submitted in slices, so that many requests of one do not delay those of others. Used on the
 * event loop only.
 */
final class RequestSubmitter implements TurnScheduler.Work {
    /** Requests of a slice that are submitted however long that takes. */
    private static final int MIN_REQUESTS_PER_SLICE = 4;

    /** Why no further request is submitted now. */
    private enum Progress {
        /** None is left. */
        DONE,
        /** The next one has to wait for memory or for the responses before it. */
        BLOCKED,
        /** Others have their turn first. */
        OUT_OF_TIME
    }

    private final ClientConnection connection;
    private final ConnectionOwner owner;
    private final MemoryAccount account;
    /** The responses whose requests are complete and not submitted yet. */
    private final ArrayDeque<PendingResponse> unsubmitted = new ArrayDeque<>(2);

    private final MemoryAccount.Waiter onMemoryAvailable = this::onMemoryAvailable;
    private boolean scheduled;
    private boolean running;
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
        if (scheduled) {
            return;
        }
        scheduled = true;
        if (!running) { // the scheduler queues it again after the slice that is running
            TurnScheduler turns = connection.loopContext().turns();
            if (connection.turns().hasBacklog()) {
                turns.scheduleBacklog(this);
            } else {
                turns.schedule(this);
            }
        }
    }

    @Override
    public boolean runSlice() {
        scheduled = false;
        // While reading is paused, the loop does not notice the client's end behind what has not been read.
        if (connection.isReadingPaused() && connection.closeIfClientLeft()) {
            return false;
        }
        running = true;
        try {
            submitInSlice();
        } finally {
            running = false;
        }
        return scheduled;
    }

    private void submitInSlice() {
        Progress progress = submitAllowed(MIN_REQUESTS_PER_SLICE, System.nanoTime() + TurnScheduler.SLICE_NANOS);
        if (progress == Progress.BLOCKED
                && !awaitsMemory
                && connection.admission().mayQueueResponses()) {
            awaitsMemory = true;
            account.await(MemoryPurpose.QUEUED_RESPONSE, onMemoryAvailable);
        }
        scheduled |= progress == Progress.OUT_OF_TIME;
    }

    /** Returns whether the connection no longer waits for the account; it may still wait for its own client. */
    private boolean onMemoryAvailable() {
        Progress progress = submitAllowed(1, System.nanoTime()); // as many may wait, each submits one
        awaitsMemory = progress == Progress.BLOCKED && connection.admission().mayQueueResponses();
        if (progress == Progress.OUT_OF_TIME) {
            schedule();
        }
        return !awaitsMemory;
    }

    /** Submits requests until one has to wait, or the least number has been submitted and the time is over. */
    private Progress submitAllowed(int minRequests, long endNanos) {
        int submitted = 0;
        ChannelHandlerContext context = connection.context();
        // If the channel is no longer active, channelInactive is called later and releases the requests that are left
        // here.
        PendingResponse response;
        while (context.channel().isActive() && (response = unsubmitted.peek()) != null) {
            if (submitted >= minRequests && System.nanoTime() - endNanos > 0) {
                return Progress.OUT_OF_TIME;
            }
            if (!connection.admission().mayForward(response)) { // claims memory, to be used by the submission
                return Progress.BLOCKED;
            }
            unsubmitted.remove();
            submit(response, context);
            submitted++;
        }
        return Progress.DONE;
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
