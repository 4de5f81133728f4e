package quotagateway.transport;

import io.netty.channel.IoEvent;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.epoll.EpollIoHandle;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.unix.FileDescriptor;

/**
 * Netty's epoll, without the events of sockets that are closed already. To be used on one event
 * loop.
 *
 * <p>Prevents an event of a closed socket from being delivered to another one. The kernel returns a
 * batch of events by descriptor number; where the handling of one event closes a socket and that of
 * the next opens another, the new socket gets the old number, and the old socket's events that are
 * still in the batch. It shows as an attempt that ends as if its backend were gone: a hang-up among
 * those events ends a connection that is being opened. An open connection loses its own notice of
 * hang-ups by it, leaves epoll when its reading pauses, and fails when that resumes. The guard
 * holds as a new socket's own events come with the next batch at the earliest. Cost: a comparison
 * for each event.
 */
final class StaleEventFilter implements IoHandler {

  private final IoHandler epoll;

  /** Batches of events so far. */
  private long batchNumber;

  private StaleEventFilter(IoHandler epoll) {
    this.epoll = epoll;
  }

  static IoHandlerFactory newFactory() {
    IoHandlerFactory epoll = EpollIoHandler.newFactory();
    return executor -> new StaleEventFilter(epoll.newHandler(executor));
  }

  @Override
  public void initialize() {
    epoll.initialize();
  }

  /** Waits for one batch of events and has each of them handled. */
  @Override
  public int run(IoHandlerContext context) {
    batchNumber++;
    return epoll.run(context);
  }

  @Override
  public IoRegistration register(IoHandle handle) throws Exception {
    return epoll.register(new FilteredHandle((EpollIoHandle) handle));
  }

  @Override
  public void prepareToDestroy() {
    epoll.prepareToDestroy();
  }

  @Override
  public void destroy() {
    epoll.destroy();
  }

  @Override
  public void wakeup() {
    epoll.wakeup();
  }

  @Override
  public boolean isCompatible(Class<? extends IoHandle> type) {
    return epoll.isCompatible(type);
  }

  /** One socket: events of the batch in which it was registered are not meant for it. */
  private final class FilteredHandle implements EpollIoHandle {
    private final EpollIoHandle socket;
    private final long registeredInBatch = batchNumber;

    FilteredHandle(EpollIoHandle socket) {
      this.socket = socket;
    }

    @Override
    public FileDescriptor fd() {
      return socket.fd();
    }

    @Override
    public void handle(IoRegistration registration, IoEvent event) {
      if (batchNumber != registeredInBatch) {
        socket.handle(registration, event);
      }
    }

    @Override
    public void registered() {
      socket.registered();
    }

    @Override
    public void unregistered() {
      socket.unregistered();
    }

    @Override
    public void close() {
      try {
        socket.close();
      } catch (Exception e) {
        throw new IllegalStateException(e);
      }
    }
  }
}
