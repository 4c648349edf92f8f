package cacheproxy.proxy.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.epoll.EpollServerSocketChannel;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that one build runs with epoll on every processor architecture that is supported. */
class TransportTest {
    /** Guards against a build that falls back to the JDK's channels on one of the architectures. */
    @ParameterizedTest
    @ValueSource(strings = {"x86_64", "aarch_64"})
    void theBuildHasTheNativeLibraryOfEachArchitecture(String architecture) {
        String library = "META-INF/native/libnetty_transport_native_epoll_" + architecture + ".so";
        assertThat(getClass().getClassLoader().getResource(library)).isNotNull();
    }

    @Test
    void usesEpoll() {
        assertThat(Transport.BEST.server()).isEqualTo(EpollServerSocketChannel.class);
    }
}
