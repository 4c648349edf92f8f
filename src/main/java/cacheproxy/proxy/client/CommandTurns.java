package cacheproxy.proxy.client;

import cacheproxy.proxy.net.ReadPause;
import cacheproxy.proxy.net.TurnScheduler;
import cacheproxy.proxy.upstream.EventLoopContext;

/**
 * Limits how many commands of one client connection are decoded before others have their turn. What is read from the
 * socket is decoded at once, up to a number of commands and bytes and a time, unless many connections have input. If
 * more has been read, reading pauses, the rest is decoded in later slices beside those of other connections, and
 * reading resumes once none is left: until then what the client sends stays in the operating system, and TCP holds the
 * client back. Connections that had no input for some turns of the event loop come before those that always have some.
 */
final class CommandTurns implements TurnScheduler.Work {
    private static final int MAX_COMMANDS = 64;
    private static final int MAX_BYTES = 64 << 10;
    /** The clock is read once for this many commands. */
    private static final int COMMANDS_PER_CLOCK_READ = 8;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final ClientConnection connection;
    private final ReadControl readControl;
    private final EventLoopContext loopContext;
    private final TurnScheduler scheduler;
    private int commands;
    private int bytes;
    private long startNanos;
    private boolean outOfTime;
    /** The turn of the event loop in which commands were last decoded. */
    private long lastTurn = NEVER;
    /** Whether the client has sent more than was decoded in its turn, or always has input. */
    private boolean hasBacklog;
    /** Whether a slice is queued, or has to be as the current one is used up. */
    private boolean queued;

    private boolean running;
    /** Whether the slice has ended before a command that could not be taken on. */
    private boolean refused;
    /** Whether a read event of the channel is being handled, which can bring several buffers. */
    private boolean reading;

    CommandTurns(ClientConnection connection, ReadControl readControl) {
        this.connection = connection;
        this.readControl = readControl;
        loopContext = connection.loopContext();
        scheduler = loopContext.turns();
    }

    /** Returns whether the connection's work comes after that of connections without a backlog. */
    boolean hasBacklog() {
        return hasBacklog;
    }

    /** Begins a slice with the first buffer of a read event, or queues one if this turn is used up. */
    void readBegins() {
        if (reading) {
            return;
        }
        reading = true;
        if (queued || connection.isFinished()) { // what a finished connection reads is only discarded
            return;
        }
        if (scheduler.mayHandleAtOnce()) {
            hasBacklog = false;
            beginSlice();
            return;
        }
        hasBacklog = loopContext.isTurnOrNext(lastTurn);
        readControl.pause(connection.context(), ReadPause.TURN_USED);
        queued = true;
        if (hasBacklog) {
            scheduler.scheduleBacklog(this);
        } else {
            scheduler.schedule(this);
        }
    }

    /** Records the end of a read event. */
    void readEnds() {
        if (reading && lastTurn == loopContext.turn()) {
            scheduler.handledAtOnce(System.nanoTime() - startNanos);
        }
        reading = false;
    }

    private void beginSlice() {
        commands = 0;
        bytes = 0;
        outOfTime = false;
        lastTurn = loopContext.turn();
        startNanos = System.nanoTime();
    }

    /** Returns whether a command may be decoded now; otherwise the rest of the input waits for the next slice. */
    boolean mayDecode() {
        if (queued) {
            return false;
        }
        if (commands < MAX_COMMANDS && bytes < MAX_BYTES && !outOfTime) {
            return true;
        }
        readControl.pause(connection.context(), ReadPause.TURN_USED);
        hasBacklog = true;
        queued = true;
        if (!running) { // the scheduler queues it again after the slice that is running
            scheduler.scheduleBacklog(this);
        }
        return false;
    }

    /** Records that a command has not been decoded, as the connection may not take on another one now. */
    void refused() {
        refused = true;
        hasBacklog = true;
    }

    /** Records that a command, or a part of a value, of this length has been decoded. */
    void decoded(int decodedBytes) {
        commands++;
        bytes += decodedBytes;
        if (commands % COMMANDS_PER_CLOCK_READ == 0) {
            outOfTime = System.nanoTime() - startNanos > TurnScheduler.SLICE_NANOS;
        }
    }

    /** Decodes what has been read before a pause, and then ends the pause; has no effect without a pause. */
    void resume() {
        if (readControl.isPaused() && !queued && !running) {
            queued = true;
            scheduler.scheduleBacklog(this);
        }
    }

    @Override
    public boolean runSlice() {
        queued = false;
        if (!connection.context().channel().isActive() || connection.closeIfClientLeft()) {
            return false;
        }
        running = true;
        try {
            refused = false;
            beginSlice();
            connection.decodeBufferedInput();
        } finally {
            running = false;
        }
        if (!queued && connection.admission().mayReadCommands()) {
            endPause();
        }
        return queued;
    }

    /** Reads on if it may, unless a command was refused for a reason that no longer holds. */
    private void endPause() {
        if (refused) {
            queued = true;
        } else if (connection.end().hasReadingEnded()) {
            connection.end().inputDecoded();
        } else {
            readControl.resume(connection.context());
        }
    }
}
