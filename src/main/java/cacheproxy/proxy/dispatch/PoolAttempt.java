package cacheproxy.proxy.dispatch;

import cacheproxy.policy.AttemptOutcome;
import cacheproxy.proxy.net.TimerWheel.Timer;
import cacheproxy.proxy.request.ClientRequest;
import cacheproxy.proxy.upstream.Attempt;
import cacheproxy.proxy.upstream.EventLoopContext;

/** An attempt or a probe of a pool, which times out if its server does not respond. */
abstract class PoolAttempt extends Attempt {
    /** Null while it has no timeout of its own. */
    private Timer timeout;

    /** Creates an attempt that has no connection yet; the parameters are those of {@link Attempt}. */
    PoolAttempt(ClientRequest request, int index, int server, double startedMs, double timeoutAtMs) {
        super(request, index, server, startedMs, timeoutAtMs);
    }

    /** Ends the attempt, unless it has ended, with an outcome that tells how far it had progressed. */
    final void expire() {
        if (hasEnded()) {
            return;
        }
        if (connection() == null) {
            onEnd(AttemptOutcome.NOT_SENT);
            return;
        }
        boolean neverBegun = connection().abandon(this);
        onEnd(neverBegun ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.TIMEOUT);
    }

    /** Makes the attempt expire after this delay. */
    final void expireAfter(EventLoopContext loopContext, double delayMs) {
        timeout = loopContext.after(delayMs, this::expire);
    }

    /** Whether it has a timeout of its own. */
    final boolean hasTimeout() {
        return timeout != null;
    }

    /** Cancels the timeout, so that the attempt can take as long as it needs. */
    final void cancelTimeout() {
        if (timeout != null) {
            timeout.cancel();
        }
    }
}
