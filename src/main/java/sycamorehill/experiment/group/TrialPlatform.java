package sycamorehill.experiment.group;

import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;

import sycamorehill.model.platform.PlatformAnswer;
import sycamorehill.model.platform.PlatformRequest;
import sycamorehill.model.platform.StoredObject;

/**
 * The platform as a trial sees it.
 */
public interface TrialPlatform {

	/**
	 * Takes a call in.
	 * @param request the call
	 * @param timeout when the caller gives up
	 * @return what happens, in time
	 */
	List<Delivery> call(PlatformRequest request, Duration timeout);

	/**
	 * A look at what is kept.
	 * @param request a read
	 * @return the object, or null
	 */
	StoredObject look(PlatformRequest.Read request);

	/**
	 * One thing that happens after a call.
	 *
	 * @param delay how long after the call
	 * @param apply carries it out and gives the answer to deliver, or null for none
	 */
	record Delivery(Duration delay, Supplier<PlatformAnswer> apply) {

	}

}
