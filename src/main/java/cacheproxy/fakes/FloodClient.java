package cacheproxy.fakes;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients that send at full speed on many connections, and read and discard what comes back. Connections that the peer
 * ends are opened anew. One thread serves all of them.
 */
public final class FloodClient implements AutoCloseable {
    private static final int READ_BYTES = 64 << 10;
    /** Each block numbers its lines from a multiple of this on, so that names are never repeated. */
    private static final long NUMBERS_PER_BLOCK = 1 << 20;

    private static final long SELECT_TIMEOUT_MS = 100;

    private final InetSocketAddress target;
    private final FloodKind kind;
    private final boolean reads;
    private final SplittableRandom random;
    private final Selector selector = Selector.open();
    private final ByteBuffer received = ByteBuffer.allocateDirect(READ_BYTES);
    private final CountDownLatch firstSent = new CountDownLatch(1);
    private final AtomicLong sentBytes = new AtomicLong();
    private final AtomicLong receivedBytes = new AtomicLong();
    private final Thread thread = new Thread(this::run, "flood");
    private long blocks;
    private volatile boolean closed;

    private FloodClient(InetSocketAddress target, FloodKind kind, boolean reads, long seed) throws IOException {
        this.target = target;
        this.kind = kind;
        this.reads = reads;
        random = new SplittableRandom(seed);
    }

    /**
     * Connects and begins to send.
     *
     * @param reads whether the answers are read
     */
    public static FloodClient start(InetSocketAddress target, FloodKind kind, int connections, boolean reads, long seed)
            throws IOException {
        FloodClient flood = new FloodClient(target, kind, reads, seed);
        for (int i = 0; i < connections; i++) {
            flood.connect();
        }
        flood.thread.setDaemon(true);
        flood.thread.start();
        return flood;
    }

    /** Waits until something has been sent. */
    public void awaitSent() throws InterruptedException {
        firstSent.await();
    }

    /** The bytes that all connections have sent. */
    public long sentBytes() {
        return sentBytes.get();
    }

    /** The bytes that all connections have read. */
    public long receivedBytes() {
        return receivedBytes.get();
    }

    private void connect() throws IOException {
        SocketChannel channel = SocketChannel.open();
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        channel.connect(target);
        channel.register(selector, SelectionKey.OP_CONNECT);
    }

    private void run() {
        try {
            while (!closed) {
                selector.select(SELECT_TIMEOUT_MS);
                for (SelectionKey key : selector.selectedKeys()) {
                    serve(key);
                }
                selector.selectedKeys().clear();
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        } finally {
            closeAll();
        }
    }

    private void serve(SelectionKey key) throws IOException {
        try {
            SocketChannel channel = (SocketChannel) key.channel();
            if (key.isConnectable() && channel.finishConnect()) {
                key.interestOps(reads ? SelectionKey.OP_READ | SelectionKey.OP_WRITE : SelectionKey.OP_WRITE);
            }
            if (key.isReadable() && !read(channel)) {
                reconnect(key);
                return;
            }
            if (key.isWritable()) {
                write(key, channel);
            }
        } catch (IOException e) {
            reconnect(key);
        }
    }

    private boolean read(SocketChannel channel) throws IOException {
        received.clear();
        int bytes = channel.read(received);
        receivedBytes.addAndGet(Math.max(0, bytes));
        return bytes >= 0;
    }

    private void write(SelectionKey key, SocketChannel channel) throws IOException {
        ByteBuffer block = (ByteBuffer) key.attachment();
        if (block == null || !block.hasRemaining()) {
            block = ByteBuffer.wrap(kind.block(blocks++ * NUMBERS_PER_BLOCK, random));
            key.attach(block);
        }
        if (kind.blockBytes() == 1) {
            int end = block.limit();
            block.limit(kind.closesAfterBlock() ? end : block.position() + 1);
            sentBytes.addAndGet(channel.write(block));
            block.limit(end);
        } else {
            sentBytes.addAndGet(channel.write(block));
        }
        firstSent.countDown();
        if (kind.closesAfterBlock() && !block.hasRemaining()) {
            reconnect(key);
        }
    }

    private void reconnect(SelectionKey key) throws IOException {
        key.channel().close();
        if (!closed) {
            connect();
        }
    }

    private void closeAll() {
        try {
            for (SelectionKey key : selector.keys()) {
                key.channel().close();
            }
            selector.close();
        } catch (IOException e) {
            // the sockets end with the process
        }
    }

    /** Closes all connections. */
    @Override
    public void close() {
        closed = true;
        selector.wakeup();
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
