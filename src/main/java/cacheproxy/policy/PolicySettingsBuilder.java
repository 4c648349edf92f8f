package cacheproxy.policy;

import java.util.List;

/**
 * Builds {@link PolicySettings}, where each setting is documented. Settings that are not set are 0, false or empty, and
 * there are no load reports.
 */
public final class PolicySettingsBuilder {
    private int instanceIndex;
    private int instanceCount;
    private int zone;
    private int zoneCount;
    private int kindCount;
    private boolean pollsDiscovery;
    private boolean cacheAside;
    private int originKind;
    private LoadReportSource loadReportSource = LoadReportSource.NONE;
    private List<String> loadReportFields = List.of();
    private boolean valueByWork;
    private double overQuotaValueFraction;
    private boolean cancellationAllowed;
    private boolean probingAllowed;
    private boolean peerMessagesAllowed;
    private boolean hedgingAllowed;
    private boolean retryAfterAllowed;
    private int maxAttempts;
    private double maxRetryAfterMs;
    private double connectTimeoutMs;
    private double drainGraceMs;
    private double responseGraceMs;
    private double initialCapacityFraction;
    private double warmUpMs;
    private double collapseLoadMultiple;
    private double collapseAfterMs;
    private double maxPollAgeMs;
    private double originCollapseLoadMultiple;
    private double originCollapseAfterMs;
    private List<ServiceClass> classes = List.of();
    private List<Tenant> tenants = List.of();

    PolicySettingsBuilder() {}

    /** Creates a builder that starts with existing settings. */
    PolicySettingsBuilder(PolicySettings settings) {
        instanceIndex = settings.instanceIndex();
        instanceCount = settings.instanceCount();
        zone = settings.zone();
        zoneCount = settings.zoneCount();
        kindCount = settings.kindCount();
        pollsDiscovery = settings.pollsDiscovery();
        cacheAside = settings.cacheAside();
        originKind = settings.originKind();
        loadReportSource = settings.loadReportSource();
        loadReportFields = settings.loadReportFields();
        valueByWork = settings.valueByWork();
        overQuotaValueFraction = settings.overQuotaValueFraction();
        cancellationAllowed = settings.cancellationAllowed();
        probingAllowed = settings.probingAllowed();
        peerMessagesAllowed = settings.peerMessagesAllowed();
        hedgingAllowed = settings.hedgingAllowed();
        retryAfterAllowed = settings.retryAfterAllowed();
        maxAttempts = settings.maxAttempts();
        maxRetryAfterMs = settings.maxRetryAfterMs();
        connectTimeoutMs = settings.connectTimeoutMs();
        drainGraceMs = settings.drainGraceMs();
        responseGraceMs = settings.responseGraceMs();
        initialCapacityFraction = settings.initialCapacityFraction();
        warmUpMs = settings.warmUpMs();
        collapseLoadMultiple = settings.collapseLoadMultiple();
        collapseAfterMs = settings.collapseAfterMs();
        maxPollAgeMs = settings.maxPollAgeMs();
        originCollapseLoadMultiple = settings.originCollapseLoadMultiple();
        originCollapseAfterMs = settings.originCollapseAfterMs();
        classes = settings.classes();
        tenants = settings.tenants();
    }

    /** Sets {@link PolicySettings#instanceIndex}. */
    public PolicySettingsBuilder instanceIndex(int value) {
        instanceIndex = value;
        return this;
    }

    /** Sets {@link PolicySettings#instanceCount}. */
    public PolicySettingsBuilder instanceCount(int value) {
        instanceCount = value;
        return this;
    }

    /** Sets {@link PolicySettings#zone}. */
    public PolicySettingsBuilder zone(int value) {
        zone = value;
        return this;
    }

    /** Sets {@link PolicySettings#zoneCount}. */
    public PolicySettingsBuilder zoneCount(int value) {
        zoneCount = value;
        return this;
    }

    /** Sets {@link PolicySettings#kindCount}. */
    public PolicySettingsBuilder kindCount(int value) {
        kindCount = value;
        return this;
    }

    /** Sets {@link PolicySettings#pollsDiscovery}. */
    public PolicySettingsBuilder pollsDiscovery(boolean value) {
        pollsDiscovery = value;
        return this;
    }

    /** Sets {@link PolicySettings#cacheAside}. */
    public PolicySettingsBuilder cacheAside(boolean value) {
        cacheAside = value;
        return this;
    }

    /** Sets {@link PolicySettings#originKind}. */
    public PolicySettingsBuilder originKind(int value) {
        originKind = value;
        return this;
    }

    /** Sets {@link PolicySettings#loadReportSource}. */
    public PolicySettingsBuilder loadReportSource(LoadReportSource value) {
        loadReportSource = value;
        return this;
    }

    /** Sets {@link PolicySettings#loadReportFields}. */
    public PolicySettingsBuilder loadReportFields(List<String> value) {
        loadReportFields = value;
        return this;
    }

    /** Sets {@link PolicySettings#valueByWork}. */
    public PolicySettingsBuilder valueByWork(boolean value) {
        valueByWork = value;
        return this;
    }

    /** Sets {@link PolicySettings#overQuotaValueFraction}. */
    public PolicySettingsBuilder overQuotaValueFraction(double value) {
        overQuotaValueFraction = value;
        return this;
    }

    /** Sets {@link PolicySettings#cancellationAllowed}. */
    public PolicySettingsBuilder cancellationAllowed(boolean value) {
        cancellationAllowed = value;
        return this;
    }

    /** Sets {@link PolicySettings#probingAllowed}. */
    public PolicySettingsBuilder probingAllowed(boolean value) {
        probingAllowed = value;
        return this;
    }

    /** Sets {@link PolicySettings#peerMessagesAllowed}. */
    public PolicySettingsBuilder peerMessagesAllowed(boolean value) {
        peerMessagesAllowed = value;
        return this;
    }

    /** Sets {@link PolicySettings#hedgingAllowed}. */
    public PolicySettingsBuilder hedgingAllowed(boolean value) {
        hedgingAllowed = value;
        return this;
    }

    /** Sets {@link PolicySettings#retryAfterAllowed}. */
    public PolicySettingsBuilder retryAfterAllowed(boolean value) {
        retryAfterAllowed = value;
        return this;
    }

    /** Sets {@link PolicySettings#maxAttempts}. */
    public PolicySettingsBuilder maxAttempts(int value) {
        maxAttempts = value;
        return this;
    }

    /** Sets {@link PolicySettings#maxRetryAfterMs}. */
    public PolicySettingsBuilder maxRetryAfterMs(double value) {
        maxRetryAfterMs = value;
        return this;
    }

    /** Sets {@link PolicySettings#connectTimeoutMs}. */
    public PolicySettingsBuilder connectTimeoutMs(double value) {
        connectTimeoutMs = value;
        return this;
    }

    /** Sets {@link PolicySettings#drainGraceMs}. */
    public PolicySettingsBuilder drainGraceMs(double value) {
        drainGraceMs = value;
        return this;
    }

    /** Sets {@link PolicySettings#responseGraceMs}. */
    public PolicySettingsBuilder responseGraceMs(double value) {
        responseGraceMs = value;
        return this;
    }

    /** Sets {@link PolicySettings#initialCapacityFraction}. */
    public PolicySettingsBuilder initialCapacityFraction(double value) {
        initialCapacityFraction = value;
        return this;
    }

    /** Sets {@link PolicySettings#warmUpMs}. */
    public PolicySettingsBuilder warmUpMs(double value) {
        warmUpMs = value;
        return this;
    }

    /** Sets {@link PolicySettings#collapseLoadMultiple}. */
    public PolicySettingsBuilder collapseLoadMultiple(double value) {
        collapseLoadMultiple = value;
        return this;
    }

    /** Sets {@link PolicySettings#collapseAfterMs}. */
    public PolicySettingsBuilder collapseAfterMs(double value) {
        collapseAfterMs = value;
        return this;
    }

    /** Sets {@link PolicySettings#maxPollAgeMs}. */
    public PolicySettingsBuilder maxPollAgeMs(double value) {
        maxPollAgeMs = value;
        return this;
    }

    /** Sets {@link PolicySettings#originCollapseLoadMultiple}. */
    public PolicySettingsBuilder originCollapseLoadMultiple(double value) {
        originCollapseLoadMultiple = value;
        return this;
    }

    /** Sets {@link PolicySettings#originCollapseAfterMs}. */
    public PolicySettingsBuilder originCollapseAfterMs(double value) {
        originCollapseAfterMs = value;
        return this;
    }

    /** Sets {@link PolicySettings#classes}. */
    public PolicySettingsBuilder classes(List<ServiceClass> value) {
        classes = value;
        return this;
    }

    /** Sets {@link PolicySettings#tenants}. */
    public PolicySettingsBuilder tenants(List<Tenant> value) {
        tenants = value;
        return this;
    }

    /** Returns the settings. */
    public PolicySettings build() {
        return new PolicySettings(
                instanceIndex,
                instanceCount,
                zone,
                zoneCount,
                kindCount,
                pollsDiscovery,
                cacheAside,
                originKind,
                loadReportSource,
                loadReportFields,
                valueByWork,
                overQuotaValueFraction,
                cancellationAllowed,
                probingAllowed,
                peerMessagesAllowed,
                hedgingAllowed,
                retryAfterAllowed,
                maxAttempts,
                maxRetryAfterMs,
                connectTimeoutMs,
                drainGraceMs,
                responseGraceMs,
                initialCapacityFraction,
                warmUpMs,
                collapseLoadMultiple,
                collapseAfterMs,
                maxPollAgeMs,
                originCollapseLoadMultiple,
                originCollapseAfterMs,
                classes,
                tenants);
    }
}
