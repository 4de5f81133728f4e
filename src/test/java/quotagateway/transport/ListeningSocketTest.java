package quotagateway.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import org.junit.jupiter.api.Test;

/** Tests how a start waits for a socket that can listen. */
class ListeningSocketTest {

  private static final InetSocketAddress ADDRESS =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 80);

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private int tries;

  private ChannelFuture failAtFirst(int failures, Throwable cause) {
    tries++;
    return tries <= failures ? channel.newFailedFuture(cause) : channel.newSucceededFuture();
  }

  @Test
  void momentaryLackOfSocketsDoesNotCostTheAddress() throws Exception {
    ChannelException noSocket = new ChannelException("Too many open files in system");
    assertSame(channel, ListeningSocket.open(ADDRESS, () -> failAtFirst(2, noSocket)));
    assertEquals(3, tries);
  }

  @Test
  void addressInUseIsReportedAtOnce() {
    BindException inUse = new BindException("Address already in use");
    BindException failure =
        assertThrows(
            BindException.class, () -> ListeningSocket.open(ADDRESS, () -> failAtFirst(1, inUse)));
    assertEquals("cannot listen on " + ADDRESS + ": Address already in use", failure.getMessage());
    assertEquals(1, tries);
  }
}
