package quotagateway.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import quotagateway.testing.PortReservation;

/** Tests which failures of a connect are taken as failures of the peer. */
class ConnectFailureTest {

  @ParameterizedTest
  @ValueSource(
      strings = {
        "connect(..) failed with error(-99): Cannot assign requested address",
        "connect(..) failed with error(-105): No buffer space available",
        "connect(..) failed with error(-11): Resource temporarily unavailable"
      })
  void failureOfThisMachineSaysNothingAboutThePeer(String message) {
    assertEquals(ConnectFailure.LOCAL, ConnectFailure.of(new ConnectException(message)));
  }

  @Test
  void failureToOpenBindOrRouteASocketIsLocal() {
    assertEquals(ConnectFailure.LOCAL, ConnectFailure.of(new ChannelException("no descriptor")));
    assertEquals(ConnectFailure.LOCAL, ConnectFailure.of(new BindException("no port")));
    assertEquals(ConnectFailure.LOCAL, ConnectFailure.of(new NoRouteToHostException()));
  }

  @Test
  void unansweredConnectIsUnreachable() {
    assertEquals(
        ConnectFailure.UNREACHABLE, ConnectFailure.of(new ConnectTimeoutException("250 ms")));
    assertEquals(
        ConnectFailure.UNREACHABLE,
        ConnectFailure.of(new ConnectException("error(-110): Connection timed out")));
    assertEquals(ConnectFailure.UNREACHABLE, ConnectFailure.of(new IOException()));
  }

  /** Taken for a failure of this machine, a backend that is down would never be ejected. */
  @Test
  void refusalIsKnownInEveryLanguage() {
    assertEquals(
        ConnectFailure.UNREACHABLE,
        ConnectFailure.of(
            new ConnectException("finishConnect(..) failed with error(-111): Conexão recusada")));
    assertEquals(
        ConnectFailure.UNREACHABLE, ConnectFailure.of(new ConnectException("Conexão recusada")));
  }

  @Test
  void resetIsToldFromARefusal() {
    assertEquals(
        ConnectFailure.RESET, ConnectFailure.of(new SocketException("Connection reset by peer")));
    assertEquals(
        ConnectFailure.RESET,
        ConnectFailure.of(new ConnectException("finishConnect(..) failed with error(-104): x")));
  }

  @Test
  void refusedConnectIsUnreachable() throws Exception {
    EventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, SocketTransport.PREFERRED.ioHandler());
    try (PortReservation notListening = new PortReservation()) {
      ChannelFuture connect =
          new Bootstrap()
              .group(group)
              .channel(SocketTransport.PREFERRED.socket())
              .handler(new ChannelInboundHandlerAdapter())
              .connect(notListening.address())
              .await();
      assertEquals(ConnectFailure.UNREACHABLE, ConnectFailure.of(connect.cause()));
    } finally {
      group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }
  }
}
