package quotagateway.policy.event;

import java.util.List;
import quotagateway.endpoint.Endpoint;
import quotagateway.endpoint.EndpointListForm;

/**
 * Discovery has sent a message of the endpoint list.
 *
 * @param form what the message stands for
 * @param endpoints the endpoints that it names
 */
public record EndpointsUpdated(EndpointListForm form, List<Endpoint> endpoints) implements Event {}
