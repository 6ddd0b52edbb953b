package sycamorehill.support;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.request.Priority;
import sycamorehill.model.request.RequestDescription;
import sycamorehill.model.target.ServingTarget;

/**
 * Requests and targets that tests begin with.
 */
public final class SampleRequests {

	/** The service that the samples ask for. */
	public static final ServiceName SERVICE = ServiceName.of("drafts");

	/** How long after the epoch the samples' deadlines lie. */
	public static final Duration DEADLINE = Duration.ofSeconds(30);

	private static final int TARGET_PORT = 8000;

	private SampleRequests() {
	}

	/**
	 * Creates a request.
	 * @param node the node that it arrived at
	 * @param number its number on that node
	 * @param content its content, which gives its fingerprint
	 * @return the request
	 */
	public static RequestDescription request(String node, long number, String content) {
		RequestIdentifier identifier = RequestIdentifier.of(NodeIncarnation.of(NodeName.of(node), 1), number);
		return new RequestDescription(identifier, "key", SERVICE, "POST", "/", 100, 100, List.of(), Priority.NORMAL,
				Instant.EPOCH.plus(DEADLINE), Optional.empty(), new Fingerprint(content));
	}

	/**
	 * Creates a target of the samples' service.
	 * @param name its name
	 * @return the target
	 */
	public static ServingTarget target(String name) {
		return new ServingTarget(TargetName.of(name), SERVICE, DataCentreName.of("east"),
				Address.of("127.0.0.1", TARGET_PORT), Optional.empty(), List.of());
	}

	/**
	 * Creates a target with a model version.
	 * @param name its name
	 * @param modelVersion the version that it has loaded
	 * @return the target
	 */
	public static ServingTarget target(String name, String modelVersion) {
		return new ServingTarget(TargetName.of(name), SERVICE, DataCentreName.of("east"),
				Address.of("127.0.0.1", TARGET_PORT), Optional.empty(), List.of(), modelVersion);
	}

}
