package cacheproxy.proxy.upstream;

import cacheproxy.config.Addresses;
import cacheproxy.proxy.request.ClientRequest;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.SocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/** Creates the HTTP requests for attempts at the origin: GET for reads and PUT for writes, with the key as the path. */
final class OriginRequestEncoder {
    private static final String HEALTH_PROBE_PATH = "/alive";
    private static final String LOAD_PROBE_PATH = "/metrics/load";
    private static final String ID_HEADER = "Req-Id";
    private static final String ATTRIBUTES_HEADER = "Req-Extra";
    /** A request's value is stored together with the line end that follows it. */
    private static final int CRLF_BYTES = 2;

    private OriginRequestEncoder() {}

    /** Creates the request for an attempt, with a deadline relative to {@code nowMs}. */
    static FullHttpRequest encode(Attempt attempt, SocketAddress server, double nowMs) {
        FullHttpRequest request = attempt.isProbe() ? probe(attempt) : request(attempt, nowMs);
        request.headers().set(HttpHeaderNames.HOST, Addresses.text(server));
        return request;
    }

    private static FullHttpRequest probe(Attempt attempt) {
        String path = attempt.protocol().probesLoad() ? LOAD_PROBE_PATH : HEALTH_PROBE_PATH;
        return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path, Unpooled.EMPTY_BUFFER);
    }

    private static FullHttpRequest request(Attempt attempt, double nowMs) {
        ClientRequest source = attempt.request();
        String path = "/" + URLEncoder.encode(source.key(), StandardCharsets.ISO_8859_1);
        ByteBuf value = source.isWrite()
                ? source.value().retainedSlice(0, source.value().readableBytes() - CRLF_BYTES)
                : Unpooled.EMPTY_BUFFER;
        HttpMethod method = source.isWrite() ? HttpMethod.PUT : HttpMethod.GET;
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path, value);
        request.headers()
                .set(ID_HEADER, source.id())
                .set(ATTRIBUTES_HEADER, source.attributesWithDeadline(attempt.deadlineForServerMs(nowMs)));
        if (source.isWrite()) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, value.readableBytes());
        }
        return request;
    }
}
