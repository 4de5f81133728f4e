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
 * Wraps Netty's epoll handler and drops events of sockets that have already been closed. Confined
 * to one event loop.
 *
 * <p>Without the filter, an event of a closed socket can be delivered to another socket. The kernel
 * returns a batch of events by descriptor number. If the handling of one event closes a socket and
 * the handling of the next opens another, the new socket gets the old descriptor number, and with
 * it the old socket's remaining events in the batch. A hang-up among these events fails a
 * connection that is being opened, so that an attempt ends as if its backend were down. An open
 * connection that receives the hang-up no longer gets its own hang-up events, is removed from epoll
 * when reading pauses, and fails when reading resumes.
 *
 * <p>The filter is correct because a new socket's own events arrive in the next batch at the
 * earliest. It costs one comparison per event.
 */
final class StaleEventFilter implements IoHandler {

  private final IoHandler delegate;

  /** Number of the current batch of events. */
  private long batchNumber;

  private StaleEventFilter(IoHandler delegate) {
    this.delegate = delegate;
  }

  static IoHandlerFactory newFactory() {
    IoHandlerFactory delegate = EpollIoHandler.newFactory();
    return executor -> new StaleEventFilter(delegate.newHandler(executor));
  }

  @Override
  public void initialize() {
    delegate.initialize();
  }

  /** Waits for a batch of events and dispatches them. */
  @Override
  public int run(IoHandlerContext context) {
    batchNumber++;
    return delegate.run(context);
  }

  @Override
  public IoRegistration register(IoHandle handle) throws Exception {
    return delegate.register(new FilteredHandle((EpollIoHandle) handle));
  }

  @Override
  public void prepareToDestroy() {
    delegate.prepareToDestroy();
  }

  @Override
  public void destroy() {
    delegate.destroy();
  }

  @Override
  public void wakeup() {
    delegate.wakeup();
  }

  @Override
  public boolean isCompatible(Class<? extends IoHandle> type) {
    return delegate.isCompatible(type);
  }

  /** A socket's handle, which drops events of the batch during which the socket was registered. */
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
