/**
 * All decisions of one gateway. {@link quotagateway.policy.GatewayPolicy} takes events and gives
 * actions; it asks, in this order, {@code admission} whether the backends can take a request,
 * {@code quota} whether its customer's plan allows it, {@code routing} which backend serves it, and
 * {@code retry} whether another attempt follows on one that failed.
 *
 * <p>Nothing here blocks, opens a socket, reads a clock or starts a thread: time comes with the
 * events, and chance from a seed, so the same events lead to the same actions. This is what the
 * simulator plays.
 */
package quotagateway.policy;
