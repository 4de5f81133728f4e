package quotagateway.policy.event;

import java.util.List;
import quotagateway.endpoint.Endpoint;
import quotagateway.endpoint.EndpointListForm;

/**
 * Reports a message of the endpoint list from discovery.
 *
 * @param form kind of message, for example a snapshot or a delta
 * @param endpoints endpoints that the message contains
 */
public record EndpointsUpdated(EndpointListForm form, List<Endpoint> endpoints) implements Event {}
