package cacheproxy.proxy.process;

import java.lang.reflect.InvocationHandler;

/** Handles SIGHUP, by which operators announce a new configuration; unhandled it would end the process. */
public final class SighupHandler {
    /** What operators are told if the process does not get the signal. */
    public static final String IGNORED_MESSAGE =
            "SIGHUP is ignored in this process, as under nohup: a new configuration is read by POST /reload at the "
                    + "control address alone";

    private SighupHandler() {}

    /**
     * Runs the task at each SIGHUP, on a thread of the JVM's. The JDK's signal classes are used by reflection, as the
     * compiler warns of their package and the warning can't be suppressed.
     *
     * @return whether the process gets the signal; it does not if it was started with the signal ignored, as under
     *     nohup
     * @throws ReflectiveOperationException if this JDK has no such classes
     */
    public static boolean install(Runnable task) throws ReflectiveOperationException {
        Class<?> signalClass = Class.forName("sun.misc.Signal");
        Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
        InvocationHandler runTask = (self, method, arguments) -> {
            task.run();
            return null;
        };
        Object handler = java.lang.reflect.Proxy.newProxyInstance(
                handlerClass.getClassLoader(), new Class<?>[] {handlerClass}, runTask);
        Object signal = signalClass.getConstructor(String.class).newInstance("HUP");
        Object previous =
                signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, signal, handler);
        return previous != handlerClass.getField("SIG_IGN").get(null);
    }
}
