package quotagateway.server;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, which requests a reload of the configuration; without a handler it would end the
 * JVM. The JDK's only API for signals, {@code sun.misc.Signal}, is accessed by reflection: the
 * compiler warns about direct use, and this build treats warnings as errors.
 */
final class ReloadSignal {

  private static final String NAME = "HUP";

  /** Thrown if SIGHUP cannot be handled in this process. */
  static final class UnavailableException extends IOException {

    private static final long serialVersionUID = 1;

    UnavailableException(String reason, Throwable cause) {
      super("SIG" + NAME + " cannot be handled: " + reason, cause);
    }
  }

  private ReloadSignal() {}

  /**
   * Runs the action on each SIGHUP from now on, on a JVM thread.
   *
   * <p>Startup fails if the JVM does not handle the signal. Otherwise a reload would be silently
   * ignored, leaving the gateway on an old configuration, or it would end the process.
   *
   * @throws UnavailableException if the JVM does not handle the signal: because it was ignored when
   *     the process started, a disposition that processes inherit (for example from nohup), or
   *     because JVM options forbid signal handlers
   */
  static void handle(Runnable reload) throws UnavailableException {
    if (install(reload) == ignoringHandler()) {
      throw new UnavailableException(
          "it was ignored when the program started; start it by env --default-signal=" + NAME,
          null);
    }
  }

  /** Installs the action as the signal handler and returns the previous handler. */
  private static Object install(Runnable reload) throws UnavailableException {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = handlerInterface();
      Object reloadHandler =
          Proxy.newProxyInstance(
              ReloadSignal.class.getClassLoader(),
              new Class<?>[] {handler},
              (proxy, method, arguments) -> {
                reload.run();
                return null;
              });
      return signal
          .getMethod("handle", signal, handler)
          .invoke(null, signal.getConstructor(String.class).newInstance(NAME), reloadHandler);
    } catch (InvocationTargetException e) {
      throw new UnavailableException(e.getCause().getMessage(), e.getCause());
    } catch (ReflectiveOperationException e) {
      throw new UnavailableException("this JVM has no signal API", e);
    }
  }

  /**
   * Returns the handler that stands for an ignored signal. HotSpot returns it as the previous
   * handler if the process inherited the signal as ignored; in this case it installs nothing and
   * reports no error.
   */
  private static Object ignoringHandler() throws UnavailableException {
    try {
      return handlerInterface().getField("SIG_IGN").get(null);
    } catch (ReflectiveOperationException e) {
      throw new UnavailableException("this JVM has no signal API", e);
    }
  }

  private static Class<?> handlerInterface() throws ClassNotFoundException {
    return Class.forName("sun.misc.SignalHandler");
  }
}
