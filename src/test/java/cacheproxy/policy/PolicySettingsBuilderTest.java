package cacheproxy.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Each builder method sets its own component of the settings. */
class PolicySettingsBuilderTest {
    private static final List<ServiceClass> CLASSES = List.of(
            new ServiceClass("read", Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 300, 1000, 1, 0.2, false));

    private static final List<Tenant> TENANTS = List.of(new Tenant("a", 1, 100));

    /** All numbers differ, so that swapped settings are detected. */
    private static final PolicySettings ALL_SETTINGS = new PolicySettings(
            1,
            2,
            3,
            4,
            5,
            true,
            true,
            6,
            LoadReportSource.BY_PROBE,
            List.of("queue"),
            true,
            0.7,
            true,
            true,
            true,
            true,
            true,
            8,
            9,
            10,
            11,
            12,
            0.13,
            14,
            15,
            16,
            17,
            18,
            19,
            CLASSES,
            TENANTS);

    @Test
    void setsEachSettingByItsName() {
        PolicySettings built = PolicySettings.builder()
                .instanceIndex(1)
                .instanceCount(2)
                .zone(3)
                .zoneCount(4)
                .kindCount(5)
                .pollsDiscovery(true)
                .cacheAside(true)
                .originKind(6)
                .loadReportSource(LoadReportSource.BY_PROBE)
                .loadReportFields(List.of("queue"))
                .valueByWork(true)
                .overQuotaValueFraction(0.7)
                .cancellationAllowed(true)
                .probingAllowed(true)
                .peerMessagesAllowed(true)
                .hedgingAllowed(true)
                .retryAfterAllowed(true)
                .maxAttempts(8)
                .maxRetryAfterMs(9)
                .connectTimeoutMs(10)
                .drainGraceMs(11)
                .responseGraceMs(12)
                .initialCapacityFraction(0.13)
                .warmUpMs(14)
                .collapseLoadMultiple(15)
                .collapseAfterMs(16)
                .maxPollAgeMs(17)
                .originCollapseLoadMultiple(18)
                .originCollapseAfterMs(19)
                .classes(CLASSES)
                .tenants(TENANTS)
                .build();
        assertThat(built).isEqualTo(ALL_SETTINGS);
    }

    @Test
    void setsNoFlagForAnother() {
        assertThat(PolicySettings.builder().pollsDiscovery(true).build().cacheAside())
                .isFalse();
        assertThat(PolicySettings.builder().cancellationAllowed(true).build().probingAllowed())
                .isFalse();
        assertThat(PolicySettings.builder().probingAllowed(true).build().cancellationAllowed())
                .isFalse();
        assertThat(PolicySettings.builder().hedgingAllowed(true).build().retryAfterAllowed())
                .isFalse();
        assertThat(PolicySettings.builder().peerMessagesAllowed(true).build().hedgingAllowed())
                .isFalse();
    }

    @Test
    void copiesAllSettings() {
        assertThat(ALL_SETTINGS.toBuilder().build()).isEqualTo(ALL_SETTINGS);
        PolicySettings none = PolicySettings.builder().build();
        assertThat(none.toBuilder().build()).isEqualTo(none);
    }
}
