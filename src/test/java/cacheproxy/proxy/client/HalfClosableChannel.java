package cacheproxy.proxy.client;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.DuplexChannel;

/** An embedded channel whose output can be shut down. */
final class HalfClosableChannel extends EmbeddedChannel implements DuplexChannel {
    private boolean outputShutdown;
    private boolean systemFull;

    HalfClosableChannel(ChannelHandler... handlers) {
        super(handlers);
    }

    /** Sets whether the operating system takes nothing that is written. */
    void setSystemFull(boolean full) {
        systemFull = full;
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer buffer) throws Exception {
        if (!systemFull) {
            super.doWrite(buffer);
        }
    }

    void setWritable(boolean writable) {
        unsafe().outboundBuffer().setUserDefinedWritability(1, writable);
        runPendingTasks();
    }

    @Override
    public boolean isInputShutdown() {
        return false;
    }

    @Override
    public ChannelFuture shutdownInput() {
        throw new UnsupportedOperationException();
    }

    @Override
    public ChannelFuture shutdownInput(ChannelPromise promise) {
        throw new UnsupportedOperationException();
    }

    @Override
    public boolean isOutputShutdown() {
        return outputShutdown;
    }

    @Override
    public ChannelFuture shutdownOutput() {
        return shutdownOutput(newPromise());
    }

    @Override
    public ChannelFuture shutdownOutput(ChannelPromise promise) {
        outputShutdown = true;
        return promise.setSuccess();
    }

    @Override
    public boolean isShutdown() {
        return false;
    }

    @Override
    public ChannelFuture shutdown() {
        throw new UnsupportedOperationException();
    }

    @Override
    public ChannelFuture shutdown(ChannelPromise promise) {
        throw new UnsupportedOperationException();
    }
}
