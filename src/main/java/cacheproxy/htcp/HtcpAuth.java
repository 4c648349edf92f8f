package cacheproxy.htcp;

import java.util.Arrays;

/**
 * The signature of a message (AUTH).
 *
 * @param signedAtSeconds when it was made, in unsigned seconds of Unix time
 * @param expiresAtSeconds the last second in which it is valid, in unsigned seconds of Unix time
 * @param keyName the name of the shared key, in ISO 8859-1
 */
@SuppressWarnings("ArrayRecordComponent") // the array is read only
public record HtcpAuth(int signedAtSeconds, int expiresAtSeconds, String keyName, byte[] signature) {
    @Override
    public boolean equals(Object other) {
        return other instanceof HtcpAuth auth
                && auth.signedAtSeconds == signedAtSeconds
                && auth.expiresAtSeconds == expiresAtSeconds
                && auth.keyName.equals(keyName)
                && Arrays.equals(auth.signature, signature);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(signature);
    }
}
