package cacheproxy.proxy.request;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.policy.DeduplicationScope;
import cacheproxy.policy.Idempotency;
import cacheproxy.policy.ServiceClass;
import cacheproxy.policy.Tenant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how a request's attributes are read and which are rejected, on a clock that the test controls. */
class RequestValidatorTest {
    private static final double NOW_MS = 5000;

    private final Set<String> openIds = new HashSet<>();
    private final RequestAccounting accounting = new RequestAccounting() {
        @Override
        public double nowMs() {
            return NOW_MS;
        }

        @Override
        public boolean openId(String id) {
            return openIds.add(id);
        }

        @Override
        public void releaseReservedBytes(int bytes) {
            throw new UnsupportedOperationException();
        }
    };
    private final RequestValidator validator = new RequestValidator(
            accounting,
            List.of(serviceClass("page", 400), serviceClass("save", 900)),
            List.of(new Tenant("acme", 0.5, 10), new Tenant("zenith", 0.5, 10)));

    private static ServiceClass serviceClass(String name, double deadlineMs) {
        return new ServiceClass(
                name, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 100, deadlineMs, 1, 0.2, false);
    }

    private static ClientRequest request(String attributes) {
        return ClientRequest.of("key", "id", false, 0, attributes);
    }

    @Test
    void resolvesClassTenantAndDeadline() {
        ClientRequest request = request("c=save,t=zenith,d=480");
        assertThat(validator.resolve(request)).isNull();
        assertThat(request.serviceClass()).isEqualTo(1);
        assertThat(request.tenant()).isEqualTo(1);
        assertThat(request.arrivedMs()).isEqualTo(NOW_MS);
        assertThat(request.dueMs()).isEqualTo(NOW_MS + 480);
        assertThat(request.clientDueMs()).isEqualTo(NOW_MS + 480);
        assertThat(openIds).containsExactly("id");
    }

    @Test
    void absentAttributesHaveDefaults() {
        ClientRequest request = request("c=page");
        assertThat(validator.resolve(request)).isNull();
        assertThat(request.tenant()).isZero();
        assertThat(request.dueMs()).isEqualTo(NOW_MS + 400);
        assertThat(request.workHintMs()).isNaN();
        assertThat(request.sizeHintBytes()).isZero();
        assertThat(request.isRetry()).isFalse();
    }

    @Test
    void theDeadlineCountsFromTheArrival() {
        ClientRequest request = request("c=page,d=100");
        request.setArrivedMs(NOW_MS - 100);
        assertThat(validator.resolve(request)).isNull();
        assertThat(request.dueMs()).isEqualTo(NOW_MS);
        assertThat(validator.isExpired(request)).isTrue();
        ClientRequest later = ClientRequest.of("key", "other", false, 0, "c=page,d=100.5");
        later.setArrivedMs(NOW_MS - 100);
        assertThat(validator.resolve(later)).isNull();
        assertThat(validator.isExpired(later)).isFalse();
    }

    @Test
    void readsHints() {
        ClientRequest request = request("c=page,h=1500,size=2048,r=1");
        assertThat(validator.resolve(request)).isNull();
        assertThat(request.workHintMs()).isEqualTo(1.5);
        assertThat(request.sizeHintBytes()).isEqualTo(2048);
        assertThat(request.isRetry()).isTrue();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "c=",
                "c=other",
                "t=acme",
                "c=page,t=other",
                "c=page,d=0",
                "c=page,d=-5",
                "c=page,d=",
                "c=page,d=1e3",
                "c=page,d=NaN",
                "c=page,d=1.2.3",
                "c=page,d=2147483648"
            })
    void refusesUnknownNamesAndBadDeadlines(String attributes) {
        assertThat(validator.resolve(request(attributes))).isEqualTo("unknown class, tenant or deadline");
        assertThat(openIds).as("the id is not recorded as open").isEmpty();
    }

    @Test
    void refusesTheIdOfAnOpenRequest() {
        assertThat(validator.resolve(request("c=page"))).isNull();
        assertThat(validator.resolve(request("c=page"))).isEqualTo("id is in use");
        openIds.remove("id");
        assertThat(validator.resolve(request("c=page"))).isNull();
    }

    @Test
    void anyTenantNameIsAcceptedIfNoTenantIsConfigured() {
        RequestValidator withoutTenants =
                new RequestValidator(accounting, List.of(serviceClass("page", 400)), List.of());
        ClientRequest request = request("c=page,t=anyone");
        assertThat(withoutTenants.resolve(request)).isNull();
        assertThat(request.tenant()).isZero();
    }

    @ParameterizedTest
    @CsvSource({"1f,31", "00000000000000ff,255", "ffffffffffffffff,-1", "ABCDEF,11259375"})
    void theHashOfAHexadecimalKeyIsItsValue(String key, long hash) {
        assertThat(RequestValidator.keyHash(key)).isEqualTo(hash);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "0", "0000000000000000", "00000000000000001", "page:1", "1g"})
    void anyOtherKeyIsHashedByItsCharacters(String key) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < key.length(); i++) {
            hash = (hash ^ key.charAt(i)) * 0x100000001b3L;
        }
        assertThat(RequestValidator.keyHash(key)).isEqualTo(hash);
    }

    /** Guards against client hints reaching the policy that are not a time, or are longer than any request can take. */
    @ParameterizedTest
    @ValueSource(strings = {"Infinity", "-Infinity", "NaN", "-7", "1e300", "0x1p9", "1d", "9999999999999", ""})
    void anInvalidHintCountsAsAbsent(String hint) {
        ClientRequest request = request("c=page,h=" + hint + ",size=" + hint);
        assertThat(validator.resolve(request)).isNull();
        assertThat(request.workHintMs()).isNaN();
        assertThat(request.sizeHintBytes()).isZero();
    }
}
