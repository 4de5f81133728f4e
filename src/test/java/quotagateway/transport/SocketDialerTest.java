package quotagateway.transport;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests connections to a peer whose queue of connections is full for longer than the timeout. */
@Timeout(30)
class SocketDialerTest {

  private static final double CONNECT_TIMEOUT_MS = 100;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, SocketTransport.PREFERRED.ioHandler());
  private final Dialer dialer = Dialer.sockets(group.next(), CONNECT_TIMEOUT_MS);
  private final List<Socket> queued = new ArrayList<>();

  @AfterEach
  void close() throws Exception {
    for (Socket socket : queued) {
      socket.close();
    }
    group.shutdownGracefully();
  }

  /** Opens connections until the kernel takes no further one. */
  private void fillQueue(InetSocketAddress peer) throws Exception {
    ChannelFuture next = dialer.dial(peer, new ChannelInboundHandlerAdapter()).await();
    while (next.isSuccess()) {
      next = dialer.dial(peer, new ChannelInboundHandlerAdapter()).await();
    }
    assertInstanceOf(ConnectTimeoutException.class, next.cause());
  }

  @Test
  void patientConnectOutlivesTheConnectTimeout() throws Exception {
    try (ServerSocket peer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      InetSocketAddress address = (InetSocketAddress) peer.getLocalSocketAddress();
      fillQueue(address);
      ChannelFuture patient = dialer.dialPatiently(address, new ChannelInboundHandlerAdapter());
      ChannelFuture prompt = dialer.dial(address, new ChannelInboundHandlerAdapter()).await();
      assertFalse(prompt.isSuccess());
      assertFalse(patient.isDone(), "given up with the prompt one");
      queued.add(peer.accept());
      queued.add(peer.accept());
      assertTrue(patient.await().isSuccess());
    }
  }
}
