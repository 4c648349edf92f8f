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

/** Makes the translation of plain commands for open listeners; request ids are unique over all of them. */
final class StandardProtocols {
    private static final long ID_PREFIX_MASK = 0xFFFFFFFFFFL;
    /** Keeps all prefixes of one length. */
    private static final long ID_PREFIX_TOP_BIT = 0x10000000000L;

    private final String idPrefix;
    private final AtomicLong lastId = new AtomicLong();

    /** Request ids begin with a prefix that is made of random bits. */
    StandardProtocols(long randomBits) {
        idPrefix = Long.toHexString((randomBits & ID_PREFIX_MASK) | ID_PREFIX_TOP_BIT);
    }

    /** The grammar of a listener's commands. */
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
