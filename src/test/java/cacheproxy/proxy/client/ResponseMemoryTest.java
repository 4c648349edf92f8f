package cacheproxy.proxy.client;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.policy.DeduplicationScope;
import cacheproxy.policy.Idempotency;
import cacheproxy.policy.ServiceClass;
import cacheproxy.proxy.memory.MemoryAccount;
import cacheproxy.proxy.memory.MemoryPurpose;
import cacheproxy.proxy.net.PollClock;
import cacheproxy.proxy.net.Transport;
import cacheproxy.proxy.request.ClientRequest;
import cacheproxy.proxy.request.MetaCodec;
import cacheproxy.proxy.request.RequestHandler;
import cacheproxy.proxy.request.RequestValidator;
import cacheproxy.proxy.request.Responder;
import cacheproxy.proxy.upstream.EventLoopContext;
import cacheproxy.proxy.upstream.EventLoopLimits;
import io.netty.buffer.AbstractByteBufAllocator;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests which requests of pipelining clients wait for memory, and that the memory of their responses is given back. */
class ResponseMemoryTest {
    /** With so little memory for writes, waiting responses have what is guaranteed to them and nothing else. */
    private static final EventLoopLimits LIMITS = new EventLoopLimits(MetaCodec.MAX_VALUE_BYTES, 10, false);
    /** As many values of the greatest length that is buffered whole as the test leaves memory for. */
    private static final int MAX_QUEUED = 16;

    private static final int TAKEN_BYTES = MAX_QUEUED * MetaCodec.MAX_BUFFERED_VALUE_BYTES;

    private static final int PIPELINED = 32;
    private static final int LENGTH = 60_000;

    private static final ServiceClass TEXT =
            new ServiceClass("text", Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 20_000, 30_000, 1, 0.2, false);

    private final EmbeddedChannel loop = new EmbeddedChannel();
    private final EventLoopContext loopContext =
            new EventLoopContext(loop.eventLoop(), new PollClock(), Transport.BEST.socket(), LIMITS);
    private final MemoryAccount memory = loopContext.memory();
    private final RequestValidator validator = new RequestValidator(loopContext, List.of(TEXT), List.of());
    private final Map<String, Responder> responders = new LinkedHashMap<>();
    private final List<Client> clients = new ArrayList<>();

    /** A client connection on a channel that takes all that is written. */
    private final class Client {
        private final String name;
        private final ClientConnection connection =
                new ClientConnection(loopContext, new FakeConnectionOwner(ResponseMemoryTest.this::submit), 0);
        private final EmbeddedChannel channel = new EmbeddedChannel(connection);

        Client(String name) {
            this.name = name;
            clients.add(this);
        }

        /** Sends reads whose ids are the client's name and a number from 0. */
        Client send(int reads) {
            StringBuilder commands = new StringBuilder();
            for (int i = 0; i < reads; i++) {
                commands.append("mg key v O").append(name).append(i).append(" Pc=text,d=20000\r\n");
            }
            channel.writeInbound(Unpooled.copiedBuffer(commands, StandardCharsets.US_ASCII));
            runTasks();
            return this;
        }

        /** How many of its requests have been submitted so far. */
        long submitted() {
            return responders.keySet().stream()
                    .filter(id -> id.startsWith(name))
                    .count();
        }

        int linesReceived() {
            runTasks();
            int lines = 0;
            for (ByteBuf part; (part = channel.readOutbound()) != null; part.release()) {
                lines += part.toString(StandardCharsets.US_ASCII).split("\r\n", -1).length - 1;
            }
            return lines;
        }
    }

    /** An allocator that has memory for lines only. */
    private static final class ExhaustedAllocator extends AbstractByteBufAllocator {
        @Override
        protected ByteBuf newHeapBuffer(int initialCapacity, int maxCapacity) {
            if (initialCapacity >= LENGTH) {
                throw new OutOfMemoryError("Cannot reserve 262144 bytes of direct buffer memory");
            }
            return UnpooledByteBufAllocator.DEFAULT.heapBuffer(initialCapacity, maxCapacity);
        }

        @Override
        protected ByteBuf newDirectBuffer(int initialCapacity, int maxCapacity) {
            return newHeapBuffer(initialCapacity, maxCapacity);
        }

        @Override
        public boolean isDirectBufferPooled() {
            return false;
        }
    }

    private RequestHandler.Handle submit(ClientRequest request, Responder responder) {
        assertThat(validator.resolve(request)).isNull();
        responders.put(request.id(), responder);
        return new RequestHandler.Handle() {
            @Override
            public void clientDisconnected() {}

            @Override
            public void cancelValue() {
                throw new UnsupportedOperationException();
            }
        };
    }

    @BeforeEach
    void takeHalfOfTheMemoryForWaitingResponses() {
        assertThat(memory.maxBytes(MemoryPurpose.QUEUED_RESPONSE)).isEqualTo(2 * TAKEN_BYTES);
        assertThat(memory.reserve(MemoryPurpose.QUEUED_RESPONSE, TAKEN_BYTES)).isTrue();
    }

    private void answer(String id) {
        Responder responder = responders.get(id);
        assertThat(responder.announceValue(LENGTH)).as("memory for %s", id).isTrue();
        responder.value(Unpooled.wrappedBuffer(new byte[LENGTH]));
    }

    private void runTasks() {
        for (int round = 0; round < 3; round++) {
            loop.runPendingTasks();
            clients.forEach(client -> client.channel.runPendingTasks());
        }
    }

    /** Guards against memory that is not given back, whatever has become of the responses. */
    @AfterEach
    void allMemoryIsGivenBack() {
        for (Client client : clients) {
            client.channel.finishAndReleaseAll();
        }
        runTasks();
        memory.release(MemoryPurpose.QUEUED_RESPONSE, TAKEN_BYTES);
        assertThat(memory.usedBytes()).as(memory.summary()).isZero();
    }

    /** Guards against responses that fill the memory while those before them wait for a client that reads slowly. */
    @Test
    void requestsWaitWhileThereIsNoMemoryForTheirResponses() {
        Client client = new Client("a").send(PIPELINED);
        assertThat(client.submitted()).isEqualTo(1 + MAX_QUEUED);
        for (int i = 1; i <= MAX_QUEUED; i++) {
            answer("a" + i);
        }
        runTasks();
        assertThat(memory.usedBytes(MemoryPurpose.QUEUED_RESPONSE))
                .isLessThanOrEqualTo(memory.maxBytes(MemoryPurpose.QUEUED_RESPONSE));
        answer("a0");
        runTasks();
        assertThat(client.submitted()).as("all that waited were sent").isEqualTo(PIPELINED);
    }

    /** Guards against a client that gets nothing while others have taken all the memory for waiting responses. */
    @Test
    void theFirstRequestOfAConnectionIsSubmittedAndServedWhateverOthersHold() {
        new Client("a").send(PIPELINED);
        Client client = new Client("b").send(3);
        assertThat(client.submitted()).isEqualTo(1);
        for (int i = 0; i < 3; i++) {
            answer("b" + i);
            assertThat(client.linesReceived()).isEqualTo(2);
        }
    }

    @Test
    void requestsThatWaitAreSubmittedOnceOthersHaveReleasedMemory() {
        Client first = new Client("a").send(PIPELINED);
        Client second = new Client("b").send(3);
        Client third = new Client("c").send(3);
        first.channel.close().syncUninterruptibly();
        runTasks();
        assertThat(second.submitted()).isEqualTo(3);
        assertThat(third.submitted()).isEqualTo(3);
    }

    /** Guards against clients that read nothing and keep others from the memory that they wait for themselves. */
    @Test
    void aClientThatReadsNothingDoesNotWaitBeforeOthers() {
        Client first = new Client("a").send(PIPELINED);
        Client second = new Client("b").send(3);
        second.channel.unsafe().outboundBuffer().setUserDefinedWritability(1, false);
        Client third = new Client("c").send(3);
        first.channel.close().syncUninterruptibly();
        runTasks();
        assertThat(second.submitted()).isEqualTo(1);
        assertThat(third.submitted()).isEqualTo(3);
        second.channel.unsafe().outboundBuffer().setUserDefinedWritability(1, true);
        runTasks();
        assertThat(second.submitted()).isEqualTo(3);
    }

    /** Guards against clients that have left and still wait for memory, before others. */
    @Test
    void aClientThatLeavesNoLongerWaits() {
        Client first = new Client("a").send(PIPELINED);
        new Client("b").send(3).channel.close().syncUninterruptibly();
        Client third = new Client("c").send(3);
        first.channel.close().syncUninterruptibly();
        runTasks();
        assertThat(third.submitted()).isEqualTo(3);
        assertThat(memory.summary()).contains(" waiting=0");
    }

    /** Guards against pipelined short reads that run one by one, though there is memory for many of them. */
    @Test
    void shortResponsesNeedLittleMemory() {
        Client client = new Client("a");
        for (int i = 0; i < 300; i++) {
            client.send(1);
            Responder responder = responders.get("a0");
            assertThat(responder.announceValue(100)).isTrue();
            responder.value(Unpooled.wrappedBuffer(new byte[100]));
            loopContext.closeId("a0");
        }
        client.linesReceived();
        for (String name : List.of("b", "c", "d")) {
            assertThat(new Client(name).send(PIPELINED).submitted()).isEqualTo(PIPELINED);
        }
    }

    /** Guards against long command lines of many clients, which together exhaust the heap. */
    @Test
    void furtherCommandsStayUnreadWhileThereIsNoMemoryForThem() {
        long taken = memory.maxBytes(MemoryPurpose.COMMAND) - 1000;
        assertThat(memory.reserve(MemoryPurpose.COMMAND, taken)).isTrue();
        Client first = new Client("a").send(3);
        Client second = new Client("b").send(3);
        assertThat(first.submitted()).isEqualTo(1);
        assertThat(second.submitted()).isEqualTo(1);
        assertThat(first.channel.config().isAutoRead()).isFalse();
        answer("a0");
        runTasks();
        assertThat(first.submitted()).as("one at a time").isEqualTo(2);
        memory.release(MemoryPurpose.COMMAND, taken);
        runTasks();
        assertThat(first.submitted()).isEqualTo(3);
        assertThat(second.submitted()).isEqualTo(3);
        assertThat(first.channel.config().isAutoRead()).isTrue();
    }

    @Test
    void aValueIsNotAnnouncedWithoutMemory() {
        Client client = new Client("a").send(1);
        long free = memory.maxBytes(MemoryPurpose.RESPONSE);
        assertThat(memory.reserve(MemoryPurpose.RESPONSE, free)).isTrue();
        assertThat(responders.get("a0").announceValue(LENGTH)).isFalse();
        responders.get("a0").busy(0);
        assertThat(client.linesReceived()).isEqualTo(1);
        memory.release(MemoryPurpose.RESPONSE, free);
    }

    /** Guards against requests whose value has arrived and that get no answer, as the memory for it can't be had. */
    @Test
    void aValueThatCannotBeAllocatedIsAnsweredAsFailed() {
        Client client = new Client("a").send(2);
        client.channel.config().setAllocator(new ExhaustedAllocator());
        answer("a0");
        responders.get("a1").failed();
        assertThat(client.linesReceived()).isEqualTo(2);
        assertThat(loopContext.faults().count()).isEqualTo(1);
    }

    /** Guards against commands that have been read and get no answer, as the proxy ends while they wait. */
    @Test
    void requestsThatWaitAreRejectedWhenTheProxyEnds() {
        Client client = new Client("a").send(PIPELINED);
        client.connection.rejectWaitingRequests();
        for (int i = 0; i <= MAX_QUEUED; i++) {
            answer("a" + i);
        }
        assertThat(client.linesReceived()).isEqualTo(2 * (1 + MAX_QUEUED) + PIPELINED - 1 - MAX_QUEUED);
        assertThat(client.submitted()).isEqualTo(1 + MAX_QUEUED);
    }
}
