package cacheproxy.proxy.client;

import cacheproxy.proxy.request.ClientRequest;
import cacheproxy.proxy.request.MetaCodec;
import java.util.Set;
import java.util.function.Supplier;

/**
 * The meta commands as stock clients send them, without id and list (memcached's protocol.txt, "Meta Commands"):
 * {@code mg KEY v} and {@code ms KEY LENGTH}, with the flags {@code O} (opaque), {@code k} (the key comes back) and
 * {@code P} (our list, which may name class, tenant and deadline). What is not understood is told in a line.
 */
public final class StandardMetaProtocol {
    private static final String READ_FLAGS = "vOkP";
    private static final String WRITE_FLAGS = "OkP";

    private final String readDefaults;
    private final String writeDefaults;
    private final Set<String> keyedClasses;
    private final Supplier<String> idGenerator;

    /**
     * @param readDefaults the list that a read without one gets, such as {@code c=page,t=acme,d=400}; names that the
     *     request's own list has are left out
     * @param keyed names of classes whose repeats servers drop by a key; a request without one gets its id
     * @param ids new ids for requests
     */
    public StandardMetaProtocol(String readDefaults, String writeDefaults, Set<String> keyed, Supplier<String> ids) {
        this.readDefaults = readDefaults;
        this.writeDefaults = writeDefaults;
        this.keyedClasses = keyed;
        this.idGenerator = ids;
    }

    /**
     * A line as understood: a command, or the error line that answers it. A write's value follows in either case, as
     * long as its length could be read.
     */
    record Parsed(ClientRequest command, String fault, boolean write, int length, String echo) {}

    Parsed parse(String line) throws MetaCodec.SyntaxException {
        boolean write = line.startsWith("ms ");
        if (!write && !line.startsWith("mg ")) {
            String word = MetaCodec.tokenAt(line, 0);
            return fault(
                    "ERROR this listener takes mg, ms and mn"
                            + (word.length() == 2 && word.startsWith("m") ? ", not " + printable(word) : ""),
                    false,
                    0);
        }
        String key = MetaCodec.tokenAt(line, 3);
        int at = 3 + key.length() + 1;
        int length = 0;
        if (write) {
            String word = MetaCodec.tokenAt(line, at);
            length = MetaCodec.parseLength(word);
            at += word.length() + 1;
        }
        if (key.isEmpty() || key.length() > 250 || !MetaCodec.isPrintable(line)) {
            return fault(
                    "CLIENT_ERROR a key has 1 to 250 printing ASCII characters, and so has the line", write, length);
        }
        String opaque = null;
        String list = "";
        boolean echoKey = false;
        boolean value = false;
        for (int end; at < line.length(); at = end + 1) {
            end = line.indexOf(' ', at);
            end = end < 0 ? line.length() : end;
            if (end == at) {
                continue;
            }
            char flag = line.charAt(at);
            if ((write ? WRITE_FLAGS : READ_FLAGS).indexOf(flag) < 0 || (end - at > 1 && flag != 'O' && flag != 'P')) {
                return fault(
                        "CLIENT_ERROR flag " + flag + " is not offered; "
                                + (write ? "ms takes O, k and P" : "mg takes v, O, k and P"),
                        write,
                        length);
            }
            switch (flag) {
                case 'O' -> opaque = line.substring(at + 1, end);
                case 'P' -> list = line.substring(at + 1, end);
                case 'k' -> echoKey = true;
                default -> value = true;
            }
        }
        if (!write && !value) {
            return fault("CLIENT_ERROR mg needs the flag v", false, 0);
        }
        if (opaque != null && opaque.length() > 32) {
            return fault("CLIENT_ERROR an opaque has 32 characters at most", write, length);
        }
        String extras = extras(list, write ? writeDefaults : readDefaults);
        String echo = (opaque != null ? " O" + opaque : "") + (echoKey ? " k" + key : "");
        return new Parsed(command(key, write, length, extras), null, write, length, echo);
    }

    /** The deadline is not left in the list: it is told to each node anew. */
    private ClientRequest command(String key, boolean write, int length, String list) {
        String extras = list;
        String id = idGenerator.get();
        if (write
                && keyedClasses.contains(MetaCodec.attribute(extras, "c"))
                && MetaCodec.attributeValueIndex(extras, "k") < 0) {
            extras += ",k=" + id;
        }
        return ClientRequest.of(key, id, write, length, extras);
    }

    private static String extras(String own, String defaults) {
        if (own.isEmpty()) {
            return defaults;
        }
        StringBuilder list = new StringBuilder(own);
        for (String pair : defaults.split(",", 0)) {
            if (!pair.isEmpty() && MetaCodec.attributeValueIndex(own, pair.substring(0, pair.indexOf('='))) < 0) {
                list.append(list.isEmpty() ? "" : ",").append(pair);
            }
        }
        return list.toString();
    }

    private static String printable(String word) {
        return word.chars().allMatch(c -> c > ' ' && c <= '~') ? word : "that";
    }

    private static Parsed fault(String line, boolean write, int length) {
        return new Parsed(null, line, write, length, "");
    }
}
