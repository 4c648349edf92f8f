package cacheproxy.daemon;

import cacheproxy.hooks.HookCall.Answer;
import cacheproxy.proxy.request.Responder;
import io.netty.buffer.ByteBuf;
import java.util.function.Consumer;

/** Passes a response on to the client and reports its kind to an observer exactly once. */
public final class ResponseObserver implements Responder {
    private final Responder client;
    private final Consumer<Answer> observer;

    /** Reports to {@code observer} before the response is passed on. */
    public ResponseObserver(Responder client, Consumer<Answer> observer) {
        this.client = client;
        this.observer = observer;
    }

    @Override
    public boolean announceValue(int length) {
        return client.announceValue(length);
    }

    @Override
    public void value(ByteBuf value) {
        observer.accept(Answer.SERVED);
        client.value(value);
    }

    @Override
    public void stored(String receipt) {
        observer.accept(Answer.SERVED);
        client.stored(receipt);
    }

    @Override
    public void miss() {
        observer.accept(Answer.MISSING);
        client.miss();
    }

    @Override
    public void busy(double retryAfterMs) {
        observer.accept(Answer.REFUSED);
        client.busy(retryAfterMs);
    }

    @Override
    public void failed() {
        observer.accept(Answer.FAILED);
        client.failed();
    }

    @Override
    public void badRequest(String why) {
        observer.accept(Answer.REJECTED);
        client.badRequest(why);
    }

    @Override
    public void beginValue(int length, ValueSource source) {
        client.beginValue(length, source);
    }

    @Override
    public void valuePart(ByteBuf part) {
        client.valuePart(part);
    }

    @Override
    public void endValue() {
        observer.accept(Answer.SERVED);
        client.endValue();
    }

    @Override
    public void abortValue() {
        observer.accept(Answer.FAILED);
        client.abortValue();
    }

    @Override
    public boolean hasClientLeft() {
        return client.hasClientLeft();
    }
}
