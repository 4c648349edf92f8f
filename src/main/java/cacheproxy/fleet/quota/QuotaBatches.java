package cacheproxy.fleet.quota;

import cacheproxy.fleet.quota.QuotaMessage.Entry;
import java.util.ArrayList;
import java.util.List;

/** Splits entries into messages. */
final class QuotaBatches {
    private QuotaBatches() {}

    /**
     * Returns the entries in their order, split into lists that fit into one message each; empty if there are no
     * entries.
     */
    static List<List<Entry>> of(List<Entry> entries) {
        List<List<Entry>> batches = new ArrayList<>();
        for (int i = 0; i < entries.size(); i += QuotaMessage.MAX_ENTRIES) {
            batches.add(entries.subList(i, Math.min(entries.size(), i + QuotaMessage.MAX_ENTRIES)));
        }
        return batches;
    }
}
