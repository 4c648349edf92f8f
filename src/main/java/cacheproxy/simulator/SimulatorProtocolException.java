package cacheproxy.simulator;

/** Input that is not of the simulator's protocol; the message says what is wrong and where. */
public final class SimulatorProtocolException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    SimulatorProtocolException(String message) {
        super(message);
    }
}
