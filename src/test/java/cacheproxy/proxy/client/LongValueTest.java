package cacheproxy.proxy.client;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.policy.DeduplicationScope;
import cacheproxy.policy.Idempotency;
import cacheproxy.policy.ServiceClass;
import cacheproxy.proxy.net.PollClock;
import cacheproxy.proxy.net.Transport;
import cacheproxy.proxy.request.ClientRequest;
import cacheproxy.proxy.request.MetaCodec;
import cacheproxy.proxy.request.RequestHandler;
import cacheproxy.proxy.request.RequestValidator;
import cacheproxy.proxy.request.Responder;
import cacheproxy.proxy.upstream.EventLoopContext;
import cacheproxy.proxy.upstream.EventLoopLimits;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests when a long value is streamed and when it is held until it is whole, and that its memory is given back. */
class LongValueTest {
    /** The budget for held values is as long as the longest value. */
    private static final EventLoopLimits LIMITS = new EventLoopLimits(MetaCodec.MAX_VALUE_BYTES, 10, false);

    private static final int LENGTH = 3 << 20;

    private static final ServiceClass TEXT =
            new ServiceClass("text", Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 20_000, 30_000, 1, 0.2, false);

    private final EmbeddedChannel loop = new EmbeddedChannel();
    private final EventLoopContext loopContext =
            new EventLoopContext(loop.eventLoop(), new PollClock(), Transport.BEST.socket(), LIMITS);
    private final RequestValidator validator = new RequestValidator(loopContext, List.of(TEXT), List.of());
    private final Map<String, Responder> responders = new HashMap<>();
    private final List<String> disconnected = new ArrayList<>();
    private final List<Client> clients = new ArrayList<>();

    /** A client connection on a channel that takes all that is written. */
    private final class Client {
        private final ClientConnection connection =
                new ClientConnection(loopContext, new FakeConnectionOwner(LongValueTest.this::submit), 0);
        private final EmbeddedChannel channel = new EmbeddedChannel(connection);

        Client() {
            clients.add(this);
        }

        void send(String... ids) {
            StringBuilder commands = new StringBuilder();
            for (String id : ids) {
                commands.append("mg key v O").append(id).append(" Pc=text,d=20000\r\n");
            }
            sendText(commands.toString());
        }

        void sendText(String text) {
            channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
            runTasks();
        }

        private void runTasks() {
            loop.runPendingTasks();
            channel.runPendingTasks();
        }

        boolean isStalledAfter(double ms) {
            return connection.status().isStalled(loopContext.nowMs() + ms);
        }

        String received() {
            runTasks();
            StringBuilder text = new StringBuilder();
            for (ByteBuf part; (part = channel.readOutbound()) != null; part.release()) {
                text.append(part.toString(StandardCharsets.US_ASCII));
            }
            return text.toString();
        }
    }

    /** A source that records whether it is paused. */
    private static final class Source implements Responder.ValueSource {
        private boolean paused;
        private boolean whole;

        @Override
        public void setPaused(boolean newPaused) {
            paused = newPaused;
        }

        @Override
        public boolean isWhole() {
            return whole;
        }
    }

    private RequestHandler.Handle submit(ClientRequest request, Responder responder) {
        assertThat(validator.resolve(request)).isNull();
        responders.put(request.id(), responder);
        return new RequestHandler.Handle() {
            @Override
            public void clientDisconnected() {
                disconnected.add(request.id());
            }

            @Override
            public void cancelValue() {
                throw new UnsupportedOperationException();
            }
        };
    }

    private Source begin(String id) {
        Source source = new Source();
        responders.get(id).beginValue(LENGTH, source);
        return source;
    }

    private void part(String id, String text) {
        responders.get(id).valuePart(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    private void answer(String id) {
        responders.get(id).stored("r" + id);
    }

    private static String head(String id) {
        return "VA " + LENGTH + " O" + id + "\r\n";
    }

    private long reservedBytes() {
        return loopContext.heldValueBudget().reservedBytes();
    }

    /** Guards against memory that is not given back, whatever has become of the values. */
    @AfterEach
    void allMemoryIsGivenBack() {
        for (Client client : clients) {
            client.channel.finishAndReleaseAll();
        }
        loop.runPendingTasks();
        assertThat(reservedBytes()).isZero();
        assertThat(loopContext.memory().usedBytes()).isZero();
    }

    @Test
    void aValueIsStreamedWhileNothingWaitsBehindIt() {
        Client client = new Client();
        client.send("1");
        Source source = begin("1");
        part("1", "first");
        assertThat(client.received()).isEqualTo(head("1") + "first");
        assertThat(source.paused).isFalse();
        assertThat(reservedBytes()).isZero();
        part("1", "second");
        responders.get("1").endValue();
        assertThat(client.received()).isEqualTo("second\r\n");
    }

    @Test
    void commandsAreNotSubmittedWhileAValueIsStreamed() {
        Client client = new Client();
        client.send("1");
        begin("1");
        client.send("2", "3");
        assertThat(responders).containsOnlyKeys("1");
        assertThat(client.channel.config().isAutoRead()).isFalse();
        responders.get("1").endValue();
        client.received();
        assertThat(responders).containsOnlyKeys("1", "2", "3");
        assertThat(client.channel.config().isAutoRead()).isTrue();
    }

    /** Guards against a client that is taken to have stopped within a command while the proxy does not read it. */
    @Test
    void aClientIsNotStalledWhileItsNextCommandIsNotRead() {
        Client client = new Client();
        client.send("1");
        client.sendText("ms key 5 O2 Pc=text\r\nhe");
        assertThat(client.isStalledAfter(3000))
                .as("the rest could have been read")
                .isTrue();
        begin("1");
        part("1", "first");
        assertThat(client.isStalledAfter(3000)).isFalse();
        responders.get("1").endValue();
        client.received();
        assertThat(client.isStalledAfter(3000)).isTrue();
    }

    @Test
    void aValueIsHeldUntilItIsWholeIfACommandWaitsBehindIt() {
        Client client = new Client();
        client.send("1", "2");
        Source source = begin("1");
        answer("2");
        part("1", "first");
        assertThat(client.received()).isEmpty();
        assertThat(source.paused).isFalse();
        assertThat(reservedBytes()).isEqualTo(LENGTH);
        part("1", "second");
        responders.get("1").endValue();
        assertThat(client.received()).isEqualTo(head("1") + "firstsecond\r\nHD O2 cr2\r\n");
        assertThat(reservedBytes()).isZero();
    }

    @Test
    void aHeldValueThatBreaksOffIsAnsweredByALine() {
        Client client = new Client();
        client.send("1", "2");
        begin("1");
        part("1", "first");
        answer("2");
        responders.get("1").abortValue();
        assertThat(client.received()).isEqualTo(MetaCodec.FAILED_LINE + "HD O2 cr2\r\n");
        assertThat(client.channel.isActive()).isTrue();
        assertThat(reservedBytes()).isZero();
    }

    @Test
    void aValueThatIsWholeAtItsSourceIsStreamed() {
        Client client = new Client();
        client.send("1", "2");
        Source source = new Source();
        source.whole = true;
        responders.get("1").beginValue(LENGTH, source);
        assertThat(client.received()).isEqualTo(head("1"));
        assertThat(source.paused).isFalse();
        assertThat(client.channel.config().isAutoRead()).isTrue();
        responders.get("1").endValue();
        answer("2");
    }

    @Test
    void aLaterValueIsPausedUntilItIsTheFirst() {
        Client client = new Client();
        client.send("1", "2");
        Source later = begin("2");
        part("2", "first");
        assertThat(later.paused).isTrue();
        assertThat(reservedBytes()).isZero();
        answer("1");
        assertThat(later.paused).isFalse();
        assertThat(client.received())
                .as("nothing waits behind it any more")
                .isEqualTo("HD O1 cr1\r\n" + head("2") + "first");
    }

    @Test
    void aConnectionCollectsOneValueAtATime() {
        Client client = new Client();
        client.send("1", "2", "3");
        Source first = begin("1");
        Source second = begin("2");
        assertThat(first.paused).isFalse();
        assertThat(second.paused).isTrue();
        assertThat(reservedBytes()).isEqualTo(LENGTH);
        responders.get("1").endValue();
        assertThat(client.received()).startsWith(head("1"));
        assertThat(second.paused).isFalse();
        assertThat(reservedBytes()).isEqualTo(LENGTH);
    }

    @Test
    void aValueWaitsWhileOthersHoldTheMemory() {
        Client holder = new Client();
        Client waiter = new Client();
        holder.send("1", "2");
        waiter.send("3", "4");
        begin("1");
        Source waiting = begin("3");
        assertThat(waiting.paused).isTrue();
        assertThat(reservedBytes()).isEqualTo(LENGTH);
        responders.get("1").abortValue();
        loop.runPendingTasks();
        assertThat(waiting.paused).isFalse();
        assertThat(reservedBytes()).isEqualTo(LENGTH);
        responders.get("3").endValue();
        answer("4");
        assertThat(waiter.received()).isEqualTo(head("3") + "\r\nHD O4 cr4\r\n");
    }

    @Test
    void aClientThatLeavesGivesBackWhatItHeldOrWaitedFor() {
        Client holder = new Client();
        Client waiter = new Client();
        holder.send("1", "2");
        waiter.send("3", "4");
        begin("1");
        part("1", "first");
        Source waiting = begin("3");
        waiter.channel.close().syncUninterruptibly();
        assertThat(waiting.paused).as("its server is not kept waiting").isFalse();
        holder.channel.close().syncUninterruptibly();
        loop.runPendingTasks();
        assertThat(disconnected).containsExactlyInAnyOrder("1", "2", "3", "4");
        assertThat(reservedBytes()).isZero();
    }

    /** Guards against commands that were read before a pause, and are only decoded once a value is being streamed. */
    @Test
    void aValueIsNotStreamedWhileCommandsAreReadAndNotDecoded() {
        Client client = new Client();
        String[] ids = IntStream.rangeClosed(1, 40).mapToObj(Integer::toString).toArray(String[]::new);
        client.send(ids);
        assertThat(responders).as("the others wait undecoded").hasSize(32);
        begin("32");
        for (int i = 1; i < 32; i++) {
            answer(ids[i - 1]);
        }
        assertThat(client.received()).doesNotContain("VA ");
        assertThat(responders).hasSize(40);
        responders.get("32").abortValue();
        for (int i = 33; i <= 40; i++) {
            answer(ids[i - 1]);
        }
        assertThat(client.received())
                .startsWith(MetaCodec.FAILED_LINE + "HD O33 cr33")
                .endsWith("HD O40 cr40\r\n");
    }
}
