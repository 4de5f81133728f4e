package willowdoor.net;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import willowdoor.GatewayApi.BackendEntry;
import willowdoor.GatewayApi.Listing;

/** A listing of one backend, number 1. */
record Listed(long place, double startedMs) implements Listing {

  /** At a port of this machine. */
  Listed(int port) {
    this(Place.of(new InetSocketAddress(InetAddress.getLoopbackAddress(), port)), 0);
  }

  @Override
  public long place(long id) {
    return id == 1 ? place : BackendEntry.NOWHERE;
  }

  @Override
  public double startedMs(long id) {
    return startedMs;
  }

  @Override
  public boolean any() {
    return true;
  }
}
