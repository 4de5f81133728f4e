package quotagateway.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Opens listening sockets at the start of the process. */
public final class ListeningSocket {

  private static final long RETRY_INTERVAL_MS = 20;

  /** Long enough for a shortage of descriptors to pass, and short for a start that cannot work. */
  private static final long MAX_RETRY_MS = 3_000;

  private ListeningSocket() {}

  /**
   * Listens on an address, and waits until this has succeeded or failed. Tries again for a while if
   * no socket can be opened, because the system may lack descriptors or memory for a moment. An
   * address that cannot be used is reported at once.
   *
   * @param bind begins to listen; called again for each try
   * @return the listening channel
   */
  public static Channel open(InetSocketAddress address, Supplier<ChannelFuture> bind)
      throws BindException, InterruptedException {
    long retryUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_RETRY_MS);
    ChannelFuture bound = bind.get().await();
    while (hasNoSocket(bound) && System.nanoTime() < retryUntilNanos) {
      TimeUnit.MILLISECONDS.sleep(RETRY_INTERVAL_MS);
      bound = bind.get().await();
    }
    if (!bound.isSuccess()) {
      throw bindException(address, bound.cause());
    }
    return bound.channel();
  }

  private static boolean hasNoSocket(ChannelFuture bound) {
    return bound.cause() instanceof ChannelException;
  }

  private static BindException bindException(InetSocketAddress address, Throwable cause) {
    BindException failure =
        new BindException("cannot listen on " + address + ": " + cause.getMessage());
    failure.initCause(cause);
    return failure;
  }
}
