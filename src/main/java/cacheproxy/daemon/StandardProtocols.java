package cacheproxy.daemon;

import cacheproxy.config.DaemonConfig;
import cacheproxy.config.ListenerConfig;
import cacheproxy.policy.Idempotency;
import cacheproxy.policy.ServiceClass;
import cacheproxy.proxy.client.MetaProtocol;
import cacheproxy.proxy.client.StandardMetaProtocol;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;

/**
 * Creates the protocols of listeners. Open listeners accept plain commands, which get request ids that are unique
 * across all listeners.
 */
final class StandardProtocols {
    private static final long ID_PREFIX_MASK = 0xFFFFFFFFFFL;
    /** Gives all prefixes the same length. */
    private static final long ID_PREFIX_TOP_BIT = 0x10000000000L;

    private final String idPrefix;
    private final AtomicLong lastId = new AtomicLong();

    /** Creates a factory whose request ids begin with a prefix of random bits. */
    StandardProtocols(long randomBits) {
        idPrefix = Long.toHexString((randomBits & ID_PREFIX_MASK) | ID_PREFIX_TOP_BIT);
    }

    /** Returns the protocol that a listener's clients use. */
    MetaProtocol protocolOf(DaemonConfig file, ListenerConfig listener) {
        if (!listener.open()) {
            return MetaProtocol.platform();
        }
        String tenant = listener.tenant() == null ? "" : ",t=" + listener.tenant();
        String deadline = listener.deadlineMs() == 0 ? "" : ",d=" + Math.round(listener.deadlineMs());
        String common = tenant + deadline;
        String writeClass = listener.writeClass() == null ? "" : "c=" + listener.writeClass();
        Set<String> keyedClasses = file.classes().stream()
                .filter(serviceClass -> serviceClass.idempotency() == Idempotency.DEDUPLICATED)
                .map(ServiceClass::name)
                .collect(Collectors.toSet());
        return new StandardMetaProtocol(
                "c=" + listener.readClass() + common,
                (writeClass + common).replaceFirst("^,", ""),
                keyedClasses,
                () -> idPrefix + Long.toHexString(lastId.incrementAndGet()));
    }
}
