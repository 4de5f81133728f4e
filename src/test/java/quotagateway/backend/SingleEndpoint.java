package quotagateway.backend;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import quotagateway.endpoint.Endpoint;
import quotagateway.endpoint.ServingEndpoints;
import quotagateway.transport.BackendAddress;

/** An endpoint list of one backend with the identifier 1. */
record SingleEndpoint(long listedAddress, double startedMs) implements ServingEndpoints {

  /** Creates a list whose backend is at a port of the loopback address. */
  SingleEndpoint(int port) {
    this(BackendAddress.encode(new InetSocketAddress(InetAddress.getLoopbackAddress(), port)), 0);
  }

  @Override
  public long address(long id) {
    return id == 1 ? listedAddress : Endpoint.NO_ADDRESS;
  }

  @Override
  public double startedMs(long id) {
    return startedMs;
  }

  @Override
  public boolean hasServingEndpoint() {
    return true;
  }
}
