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
 * Netty's epoll, without events of sockets that are closed already. Guards against those being told
 * to another socket: the kernel gives a batch of events by descriptor number, and where one event
 * of the batch has a socket closed and the next one has another opened, the new socket gets the old
 * number and the old socket's events. A hang-up among them ends a connection that is being opened,
 * and of an open one it takes the watch for hang-ups; such a one then leaves epoll when its reading
 * pauses, and fails when that goes on. Harm: none, as a new socket's own events come with the next
 * batch at the earliest.
 */
final class StaleEventFilter implements IoHandler {

  private final IoHandler epoll;

  /** Counts the batches. */
  private long batch;

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

  /** Waits for one batch of events and has it handled. */
  @Override
  public int run(IoHandlerContext context) {
    batch++;
    return epoll.run(context);
  }

  @Override
  public IoRegistration register(IoHandle handle) throws Exception {
    return epoll.register(new Handle((EpollIoHandle) handle));
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

  /**
   * One socket: what the batch in which it was registered tells under its number is not meant for
   * it.
   */
  private final class Handle implements EpollIoHandle {
    private final EpollIoHandle socket;
    private final long registeredIn = batch;

    Handle(EpollIoHandle socket) {
      this.socket = socket;
    }

    @Override
    public FileDescriptor fd() {
      return socket.fd();
    }

    @Override
    public void handle(IoRegistration registration, IoEvent event) {
      if (batch != registeredIn) {
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
