package cacheproxy.daemon;

import cacheproxy.hooks.HookCall.Answer;
import cacheproxy.proxy.request.Responder;
import io.netty.buffer.ByteBuf;
import java.util.function.Consumer;

/** Passes a response on to the client and reports its kind to an observer, once. */
public final class ResponseObserver implements Responder {
    private final Responder client;
    private final Consumer<Answer> observer;

    /** Reports to {@code observer} before the response is passed on. */
    public ResponseObserver(Responder client, Consumer<Answer> told) {
        this.client = client;
        this.observer = told;
    }

    @Override
    public void value(ByteBuf value) {
        observer.accept(Answer.SERVED);
        client.value(value);
    }

    @Override
    public void receipt(String receipt) {
        observer.accept(Answer.SERVED);
        client.receipt(receipt);
    }

    @Override
    public void miss() {
        observer.accept(Answer.MISSING);
        client.miss();
    }

    @Override
    public void refused(double retryAfterMs) {
        observer.accept(Answer.REFUSED);
        client.refused(retryAfterMs);
    }

    @Override
    public void failed() {
        observer.accept(Answer.FAILED);
        client.failed();
    }

    @Override
    public void rejected(String why) {
        observer.accept(Answer.REJECTED);
        client.rejected(why);
    }

    @Override
    public void begin(int length, Flow source) {
        client.begin(length, source);
    }

    @Override
    public void part(ByteBuf part) {
        client.part(part);
    }

    @Override
    public void end() {
        observer.accept(Answer.SERVED);
        client.end();
    }

    @Override
    public void breakOff() {
        observer.accept(Answer.FAILED);
        client.breakOff();
    }
}
